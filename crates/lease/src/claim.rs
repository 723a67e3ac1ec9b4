//! At most once: a request that may not be repeated runs on at most one node, at most once.
//!
//! Two ways, told apart by the form of the request's key:
//!
//! - A *dated key* of the caller's own is claimed in a stream of the log, by shard. The claim with
//!   the lowest offset owns the key, and a node runs a request only after it has read back that
//!   its own claim is that one. An owner that did not run it releases the key.
//! - A *ticket* was issued by a node and is run only by that incarnation of it, without the log.
//!
//! [`Table`] holds a node's state of both. See `docs/design/at-most-once.md`.

pub mod action;
pub mod append;
pub mod check;
pub mod counters;
pub mod event;
pub mod home;
pub mod key;
pub mod record;
pub mod replay;
pub mod run;
pub mod settings;
pub mod table;
pub mod ticket;

pub use action::{Action, Refusal};
pub use counters::Counters;
pub use event::{Event, Request};
pub use key::{DatedKey, Key};
pub use settings::Settings;
pub use table::Table;
pub use ticket::Ticket;

/// Hash of a key and its team.
pub type Hash = u128;
/// Number of a claim among its owner's claims; never used twice.
pub type Number = u64;
/// A shard of the keys; each has a stream of its own.
pub type Shard = u16;
/// Number of an append among the table's appends.
pub type Batch = u64;
/// Hash of a request's team and body.
pub type Fingerprint = u64;

/// Name of a shard's stream.
pub fn stream(shard: Shard) -> String {
    format!("claims-{shard:02}")
}

/// The shard of a key.
pub fn shard(hash: Hash, shards: Shard) -> Shard {
    let shards = u128::from(shards.max(1));
    Shard::try_from(hash % shards).unwrap_or_default()
}
