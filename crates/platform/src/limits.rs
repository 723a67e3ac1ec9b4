//! Bounds of a client's calls.

use std::time::Duration;

/// Time limits and body bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Longest time to make a connection.
    pub connect: Duration,
    /// Longest time for a whole call; a read that waits gets its wait on top.
    pub call: Duration,
    /// Largest body to send, in bytes.
    pub send: usize,
    /// Largest body to take, in bytes.
    pub take: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connect: Duration::from_secs(1),
            call: Duration::from_secs(3),
            send: 4 << 20,
            take: 8 << 20,
        }
    }
}
