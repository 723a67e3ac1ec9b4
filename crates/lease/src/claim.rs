//! At-most-once execution: a non-idempotent request runs at most once across all nodes.
//!
//! The format of the request's key selects one of two mechanisms:
//!
//! - A *dated key* is chosen by the caller and claimed in the log stream of the key's shard. The
//!   claim with the lowest offset owns the key. A node runs a request only after it has read back
//!   that its own claim is the first. An owner that did not run the request releases the key.
//! - A *ticket* is issued by a node. Only the incarnation that issued it runs it, without the log.
//!
//! [`Table`] holds a node's state for both. See `docs/design/at-most-once.md`.

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

/// Hash of a team and the text of a key.
pub type Hash = u128;
/// Sequence number of a claim among its owner's claims, never reused.
pub type Number = u64;
/// Shard of the key space. Each shard has its own stream.
pub type Shard = u16;
/// Sequence number of an append of a table.
pub type Batch = u64;
/// Hash of the team and body of a request.
pub type Fingerprint = u64;

/// Returns the name of a shard's stream.
pub fn stream(shard: Shard) -> String {
    format!("claims-{shard:02}")
}

/// Returns the shard of a key.
pub fn shard(hash: Hash, shards: Shard) -> Shard {
    let shards = u128::from(shards.max(1));
    Shard::try_from(hash % shards).unwrap_or_default()
}
