//! Leases: one node at a time sends orders to a group of endpoints.
//!
//! A node acquires the lease of a group by a record in the stream [`STREAM`]. The record contains
//! the offset up to which the node had read the stream, and is valid if there is no other valid
//! record of the group between that offset and its own. The fencing number is the offset of the
//! record with which the holder's tenure began.
//!
//! The holder calls [`Table::permit`] right before it sends an order. A successor waits for the
//! term of the lease and the longest duration of an order, counted from when it read the last
//! record of another node. See `docs/design/roll.md`.

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

/// Name of the stream of leases.
pub const STREAM: &str = "leases";
/// Id of a group of endpoints: the hash of its name, so that it stays the same across bundles.
pub type Group = u64;
/// Fencing number of a lease.
pub type Fence = crate::Offset;
/// Sequence number of an item among those of its owner, never reused.
pub type Number = u64;
/// Sequence number of an append of a table.
pub type Batch = u64;

/// Returns the id of the group with this name.
pub fn group(name: &str) -> Group {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}
