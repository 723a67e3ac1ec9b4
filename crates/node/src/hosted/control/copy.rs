//! Requests of nodes for copies of tables and for loads, and the encoding of copies.
//!
//! A copy is transferred in chunks of about [`CHUNK_BYTES`]. As a single frame, a table of 3,000
//! endpoints occupies a slow link for longer than the time after which an unacknowledged frame is
//! resent over a new connection: it would be sent repeatedly, and the operator's catalog would wait
//! behind it.

use adapter::store::Table;
use catalog::source::{Page, Record};
use eyre::{Result, bail, ensure};
use serde::{Deserialize, Serialize};

/// Maximum size of an encoded copy that is decoded.
const MAX_ENCODED_BYTES: usize = 4 << 20;
/// Approximate size of a chunk; the rest of a copy is left for the next request.
pub const CHUNK_BYTES: usize = 48 << 10;

/// Encoded form of a [`Response`].
#[derive(Serialize, Deserialize)]
struct Raw {
    records: Vec<Row>,
    next: u64,
    #[serde(rename = "whole")]
    complete: bool,
    #[serde(rename = "fresh")]
    up_to_date: bool,
    more: bool,
}

/// Encoded form of a record.
#[derive(Serialize, Deserialize)]
struct Row {
    key: String,
    value: Option<Vec<u8>>,
    offset: u64,
}

/// A chunk of a table's changes, with the state of the node that sends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The changes in this chunk, which may be empty.
    pub page: Page,
    /// Whether the sender reads the store itself and its last read succeeded.
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
            complete: response.page.complete,
            up_to_date: response.up_to_date,
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
                complete: raw.complete,
            },
            up_to_date: raw.up_to_date,
            more: raw.more,
        }
    }
}

/// Encodes a chunk of a copy.
pub fn encode(response: &Response) -> Result<Vec<u8>> {
    let config = bincode::config::standard();
    Ok(bincode::serde::encode_to_vec(Raw::from(response), config)?)
}

/// Decodes a chunk of a copy.
///
/// # Errors
///
/// Fails if the bytes are no chunk, exceed `MAX_ENCODED_BYTES` or have trailing bytes.
pub fn decode(bytes: &[u8]) -> Result<Response> {
    let config = bincode::config::standard().with_limit::<MAX_ENCODED_BYTES>();
    let (raw, used): (Raw, usize) = bincode::serde::decode_from_slice(bytes, config)?;
    ensure!(used == bytes.len(), "trailing bytes after a copy");
    Ok(raw.into())
}

/// Selects the loads that a node is asked for. Loads are not a table of the store; their changes
/// have numbers of the sending node instead of offsets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scope {
    /// Loads that the node polled from engines itself.
    Own,
    /// All loads that the node knows.
    All,
}

/// A request to a peer. A frame carries its number, see the conversions to and from `u8`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Request {
    /// The changes of a table from an offset on.
    Changes(Table),
    /// The next chunk of a transfer of all keys of a table: the keys whose last change is at an
    /// offset or later.
    Keys(Table),
    /// The loads of engines that changed after a change number.
    Loads(Scope),
}

impl Request {
    /// Returns the table that the request is for; `None` for loads.
    pub fn table(self) -> Option<Table> {
        match self {
            Self::Changes(table) | Self::Keys(table) => Some(table),
            Self::Loads(_) => None,
        }
    }

    /// Returns the label of the request in metrics.
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
            _ => bail!("unknown request number {number}"),
        })
    }
}
