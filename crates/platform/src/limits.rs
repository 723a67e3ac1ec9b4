//! Limits of a client's calls.

use std::time::Duration;

/// Limits of the time and body size of calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Time limit for establishing a connection.
    pub connect_timeout: Duration,
    /// Time limit of a complete call. The wait time of a long-polling read is added to it.
    pub call_timeout: Duration,
    /// Maximum size of a request body in bytes.
    pub max_request_bytes: usize,
    /// Maximum size of a response body in bytes.
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
