//! Bounds of what callers may send.

use std::time::Duration;

/// Bounds of a caller's connection and requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Longest time for a request's head.
    pub head_time: Duration,
    /// Longest time that a connection may stay idle.
    pub idle_time: Duration,
}

impl Default for Limits {
    /// Usual bounds of HTTP servers, in force until the operator says otherwise.
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}
