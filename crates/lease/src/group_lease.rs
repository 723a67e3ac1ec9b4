//! Leases: one holder at a time gives orders to a group of endpoints.
//!
//! A node takes a group by a record in the stream [`STREAM`] that names how far it had read. The
//! record counts if no other one that counts lies between that place and its own. The fencing
//! number is the offset of the record that began the holder's tenure. The holder asks
//! [`Table::permit`] right before it sends; a successor waits out the term and the longest order,
//! counted from when it read the last record of another. See `docs/design/roll.md`.

pub mod action;
pub mod check;
pub mod counters;
pub mod event;
pub mod record;
pub mod settings;
pub mod state;
pub mod table;

pub use action::Action;
pub use counters::Counters;
pub use event::{Candidacy, Event};
pub use settings::Settings;
pub use table::Table;

/// Name of the stream.
pub const STREAM: &str = "leases";
/// A group of endpoints; the hash of its name, so that it outlives bundles.
pub type Group = u64;
/// A fencing number.
pub type Fence = crate::Offset;
/// Number of a record's item among its owner's; never used twice.
pub type Number = u64;
/// Number of an append among the table's appends.
pub type Batch = u64;

/// The group of this name.
pub fn group(name: &str) -> Group {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}
