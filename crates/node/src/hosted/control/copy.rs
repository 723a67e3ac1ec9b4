//! What nodes ask each other for, and the changes of a table as they send them.
//!
//! A copy comes in chunks of about [`CHUNK`] bytes. As one frame, a table of 3,000 endpoints takes a
//! slow link for longer than a connection may leave a frame unconfirmed: it was sent again and again
//! over new connections, and the operator's catalog waited behind it.

use adapter::store::Table;
use catalog::source::{Page, Record};
use eyre::{Result, bail, ensure};
use serde::{Deserialize, Serialize};

/// Longest copy that is read.
const MAX_ENCODED_BYTES: usize = 4 << 20;
/// Bytes of a copy from which on the rest waits for the next ask.
pub const CHUNK_BYTES: usize = 48 << 10;

#[derive(Serialize, Deserialize)]
struct Raw {
    records: Vec<Row>,
    next: u64,
    whole: bool,
    fresh: bool,
    more: bool,
}

#[derive(Serialize, Deserialize)]
struct Row {
    key: String,
    value: Option<Vec<u8>>,
    offset: u64,
}

/// A chunk of a table's changes, and what the node that gives it says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The changes in this chunk; maybe none.
    pub page: Page,
    /// Whether the node that gives them can read the store.
    pub up_to_date: bool,
    /// Whether more chunks follow.
    pub more: bool,
}

impl From<&Response> for Raw {
    fn from(response: &Response) -> Self {
        let rows = response.page.records.iter().map(|r| Row {
            key: r.key.clone(),
            value: r.value.as_ref().map(|v| v.to_vec()),
            offset: r.offset,
        });
        Self {
            records: rows.collect(),
            next: response.page.next_offset,
            whole: response.page.complete,
            fresh: response.up_to_date,
            more: response.more,
        }
    }
}

impl From<Raw> for Response {
    fn from(raw: Raw) -> Self {
        let records = raw.records.into_iter().map(|r| Record {
            key: r.key,
            value: r.value.map(Into::into),
            offset: r.offset,
        });
        Self {
            page: Page {
                records: records.collect(),
                next_offset: raw.next,
                complete: raw.whole,
            },
            up_to_date: raw.fresh,
            more: raw.more,
        }
    }
}

/// The bytes of a copy.
pub fn encode(response: &Response) -> Result<Vec<u8>> {
    let config = bincode::config::standard();
    Ok(bincode::serde::encode_to_vec(Raw::from(response), config)?)
}

/// Reads the bytes of a copy.
pub fn decode(bytes: &[u8]) -> Result<Response> {
    let config = bincode::config::standard().with_limit::<MAX_ENCODED_BYTES>();
    let (raw, used): (Raw, usize) = bincode::serde::decode_from_slice(bytes, config)?;
    ensure!(used == bytes.len(), "trailing bytes");
    Ok(raw.into())
}

/// Which loads a node is asked for. They are no table of the store, and have numbers of their own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scope {
    /// Those that it asked engines for itself.
    Own,
    /// All that it knows.
    All,
}

/// What a node asks a peer for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Request {
    /// Changes of a table from an offset on.
    Changes(Table),
    /// The next chunk of all keys of a table, those that changed at an offset or later.
    Keys(Table),
    /// Loads of engines that changed after a number.
    Loads(Scope),
}

impl Request {
    /// Its word in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Changes(Table::Operator) | Self::Keys(Table::Operator) => "operator",
            Self::Changes(Table::Endpoints) | Self::Keys(Table::Endpoints) => "endpoints",
            Self::Loads(_) => "loads",
        }
    }
}

impl From<Request> for u8 {
    fn from(request: Request) -> Self {
        match request {
            Request::Changes(Table::Operator) => 0,
            Request::Changes(Table::Endpoints) => 1,
            Request::Loads(Scope::All) => 2,
            Request::Loads(Scope::Own) => 3,
            Request::Keys(Table::Operator) => 4,
            Request::Keys(Table::Endpoints) => 5,
        }
    }
}

impl TryFrom<u8> for Request {
    type Error = eyre::Report;

    fn try_from(number: u8) -> Result<Self> {
        Ok(match number {
            0 => Self::Changes(Table::Operator),
            1 => Self::Changes(Table::Endpoints),
            2 => Self::Loads(Scope::All),
            3 => Self::Loads(Scope::Own),
            4 => Self::Keys(Table::Operator),
            5 => Self::Keys(Table::Endpoints),
            _ => bail!("no ask has the number {number}"),
        })
    }
}
