//! Rest: the time for which an endpoint that refused a request asks to be left alone.
//!
//! A rest is a request of the endpoint and not a failure. So it is kept apart from
//! [`crate::health::Health`]: it is neither counted nor published, and no response ends it early.

use crate::Timestamp;
use std::time::Duration;

/// Maximum length of a rest. It bounds how long a wrong value keeps an endpoint out of use.
pub const MAX_REST: Duration = Duration::from_secs(600);

/// Interval between requests after a rest, until the endpoint accepts one. An endpoint that asks
/// for more rest thereby refuses one request instead of all that waited for it.
const RESUME_INTERVAL: Duration = Duration::from_millis(50);

/// Rest of an endpoint, until the endpoint accepts a request that was sent after its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rest {
    until: Timestamp,
    /// Time from which the next request may be sent.
    next_request: Timestamp,
}

impl Rest {
    /// Creates a rest that begins now.
    pub fn new(now: Timestamp, length: Duration) -> Self {
        let until = now.saturating_add(length.min(MAX_REST));
        Self {
            until,
            next_request: until,
        }
    }

    /// Returns the end of the rest.
    pub fn until(&self) -> Timestamp {
        self.until
    }

    /// Returns the time from which the next request may be sent.
    pub fn next_request(&self) -> Timestamp {
        self.next_request
    }

    /// Returns the rest that ends last.
    pub fn later(self, other: Self) -> Self {
        if other.until > self.until {
            other
        } else {
            self
        }
    }

    /// Records that a request is sent now.
    pub fn record_request(&mut self, now: Timestamp) {
        if now >= self.until {
            self.next_request = now.saturating_add(RESUME_INTERVAL);
        }
    }
}
