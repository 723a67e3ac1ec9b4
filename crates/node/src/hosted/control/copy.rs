//! Changes of a table as nodes send them to each other.

use adapter::store::Table;
use catalog::source::{Page, Record};
use eyre::{Result, ensure};
use serde::{Deserialize, Serialize};

/// Longest copy that is read.
const LONGEST: usize = 4 << 20;

#[derive(Serialize, Deserialize)]
struct Raw {
    records: Vec<Row>,
    next: u64,
    whole: bool,
    fresh: bool,
}

#[derive(Serialize, Deserialize)]
struct Row {
    key: String,
    value: Option<Vec<u8>>,
    offset: u64,
}

/// Changes of a table, and whether the node that gives them can read the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Copy {
    /// The changes; maybe none.
    pub page: Page,
    /// Whether they are all that there are.
    pub fresh: bool,
}

impl From<&Copy> for Raw {
    fn from(copy: &Copy) -> Self {
        let rows = copy.page.records.iter().map(|r| Row {
            key: r.key.clone(),
            value: r.value.as_ref().map(|v| v.to_vec()),
            offset: r.offset,
        });
        Self {
            records: rows.collect(),
            next: copy.page.next,
            whole: copy.page.whole,
            fresh: copy.fresh,
        }
    }
}

impl From<Raw> for Copy {
    fn from(raw: Raw) -> Self {
        let records = raw.records.into_iter().map(|r| Record {
            key: r.key,
            value: r.value.map(Into::into),
            offset: r.offset,
        });
        Self {
            page: Page {
                records: records.collect(),
                next: raw.next,
                whole: raw.whole,
            },
            fresh: raw.fresh,
        }
    }
}

/// The bytes of a copy.
pub fn encode(copy: &Copy) -> Result<Vec<u8>> {
    let config = bincode::config::standard();
    Ok(bincode::serde::encode_to_vec(Raw::from(copy), config)?)
}

/// Reads the bytes of a copy.
pub fn decode(bytes: &[u8]) -> Result<Copy> {
    let config = bincode::config::standard().with_limit::<LONGEST>();
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

/// The number between nodes of a scope of the loads.
pub fn loads_number(scope: Scope) -> u8 {
    match scope {
        Scope::All => 2,
        Scope::Own => 3,
    }
}

/// The scope of the loads of a number.
pub fn loads(number: u8) -> Option<Scope> {
    [Scope::Own, Scope::All]
        .into_iter()
        .find(|s| loads_number(*s) == number)
}

/// The number of a table between nodes.
pub fn number(table: Table) -> u8 {
    match table {
        Table::Operator => 0,
        Table::Endpoints => 1,
    }
}

/// The table of a number.
pub fn table(number: u8) -> Option<Table> {
    [Table::Operator, Table::Endpoints]
        .into_iter()
        .find(|t| self::number(*t) == number)
}
