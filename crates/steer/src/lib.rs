//! Which endpoint, or which chain of endpoints, runs a request; without I/O.
//!
//! [`Selector`] is the state of one request worker: the endpoints that registered, what this worker
//! has under way at each, and how each did of late. It is asked for a [`target::Target`] and is
//! told how the attempt ended. Time is passed in and chance is seeded, so the same calls give the
//! same choices.
//!
//! Left to others: sockets and HTTP (`gate`), which layers an endpoint holds (`place`), what the
//! operator and the endpoints say (`catalog`).

use std::time::Duration;

pub mod budget;
pub mod chain;
pub mod fleet;
pub mod health;
mod jitter;
pub mod link;
pub mod load;
pub mod row;
pub mod scarcity;
mod search;
pub mod selector;
pub mod shortage;
pub mod shortlist;
pub mod target;
pub mod transition;
mod unreported;

pub use crate::fleet::Fleet;
pub use crate::selector::Selector;

/// Time since the process started, on the monotonic clock.
pub type Timestamp = Duration;
/// Result of asking for a target.
pub type Result<T> = std::result::Result<T, shortage::Shortage>;
