//! Limits: how many requests a second an endpoint in need takes from all nodes together.
//!
//! A limit is a request of the endpoint and not a failure. So it is kept apart from
//! [`crate::health::Health`], and lasts until a response to a later request does not name it.

use crate::Timestamp;
use std::time::Duration;

/// Limit of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// Mean time between two requests of all nodes together.
    pub interval: Duration,
    /// When this node was last sent the limit.
    named_at: Timestamp,
}

impl Limit {
    /// Creates a limit that a response names now.
    pub fn new(now: Timestamp, interval: Duration) -> Self {
        Self {
            interval,
            named_at: now,
        }
    }

    /// Returns the number of requests a second.
    pub fn per_second(&self) -> f64 {
        1.0 / self.interval.as_secs_f64().max(f64::MIN_POSITIVE)
    }

    /// Returns whether a response without a limit ends it; `began` is when its attempt began. A response
    /// to an earlier request may have been sent before the limit.
    pub fn is_ended_by(&self, began: Timestamp) -> bool {
        began >= self.named_at
    }
}
