//! Claims of idempotency keys, leases with fencing numbers and the order of a roll, without I/O.
//!
//! - [`claim`]: a request that may not be repeated runs at most once over all nodes.
//! - [`group_lease`]: one holder at a time gives orders to a group of endpoints.
//! - [`roll`]: which order to which endpoint comes next on the way to the bundle's desired state.
//!
//! Inputs are events with the time they came at; outputs are actions that the node carries out.
//! The log service is the only thing agreed upon: its order decides, and every table judges only
//! by what it has read back. Left to others: sockets (`platform`, `engine`), who lives
//! (`member`), queues and retries of requests (`route`), the answers' bytes (`entry`).

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

/// Time since the process started, on the monotonic clock.
pub type Now = Duration;
/// Time since the Unix epoch, on the wall clock.
pub type WallTime = Duration;
/// Place of a record in its stream.
pub type Offset = u64;
/// Id of a request, unique over all nodes.
pub type RequestId = u128;
