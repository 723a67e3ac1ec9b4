//! Bounds of a client's calls.

use std::time::Duration;

/// Time limits and body bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Longest time to make a connection.
    pub connect_timeout: Duration,
    /// Longest time for a whole call; a read that waits gets its wait on top.
    pub call_timeout: Duration,
    /// Largest body to send, in bytes.
    pub max_request_bytes: usize,
    /// Largest body to take, in bytes.
    pub max_response_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            call_timeout: Duration::from_secs(3),
            max_request_bytes: 4 << 20,
            max_response_bytes: 8 << 20,
        }
    }
}
