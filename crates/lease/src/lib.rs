//! State machines for claims of idempotency keys, leases with fencing numbers, and rolling updates.
//!
//! - [`claim`]: runs each non-idempotent request at most once across all nodes.
//! - [`group_lease`]: elects one node at a time to send orders to a group of endpoints.
//! - [`roll`]: selects the next orders that bring endpoints to the bundle's desired state.
//!
//! The crate does no I/O. Its inputs are events with the time at which they occurred, and its
//! outputs are actions for the node to execute. The log service is the only source of agreement:
//! the order of its records decides, and each table relies only on records that it has read back.
//! Other crates handle sockets (`platform`, `engine`), membership (`member`), queues and retries of
//! requests (`route`), and the contents of answers (`entry`).

use std::time::Duration;

pub mod backoff;
pub mod claim;
pub mod group_lease;
pub mod outcome;
pub mod owner;
pub mod page;
pub mod roll;

pub use outcome::Outcome;
pub use owner::Owner;
pub use page::{Page, Record};

/// Time since the start of the process, by the monotonic clock.
pub type Now = Duration;
/// Time since the Unix epoch, by the wall clock.
pub type WallTime = Duration;
/// Position of a record in its stream.
pub type Offset = u64;
/// Id of a request, unique across all nodes.
pub type RequestId = u128;
