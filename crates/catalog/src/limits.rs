//! Limits on the connections and requests of callers.

use std::time::Duration;

/// Limits on a caller's connection and its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest size of a request's header section, in bytes.
    pub head_bytes: usize,
    /// Largest size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Longest time to receive a request's header section.
    pub head_time: Duration,
    /// Longest time that a connection may stay idle.
    pub idle_time: Duration,
}

impl Default for Limits {
    /// Usual limits of HTTP servers; they apply until the operator sets others.
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}
