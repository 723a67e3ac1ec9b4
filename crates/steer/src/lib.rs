//! Selection of the endpoint, or the chain of endpoints, that runs a request, without I/O.
//!
//! [`Selector`] is the state of one request worker: the registered endpoints, the requests that
//! this worker has in flight at each, and the recent health of each. It selects a
//! [`target::Target`] for each attempt and records how the attempt ended. Time is an argument and
//! random draws are seeded, so the same calls make the same selections.
//!
//! Sockets and HTTP are the job of `gate`, the layers that each endpoint holds that of `place`, and
//! the configuration and the registered endpoints that of `catalog`.

use std::time::Duration;

pub mod budget;
pub mod chain;
pub mod crash;
pub mod departures;
pub mod evacuation;
pub mod fleet;
pub mod health;
mod jitter;
pub mod limit;
pub mod link;
pub mod load;
pub mod paths;
pub mod prefill;
pub mod queue;
pub mod rest;
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
/// Result of selecting a target.
pub type Result<T> = std::result::Result<T, shortage::Shortage>;
