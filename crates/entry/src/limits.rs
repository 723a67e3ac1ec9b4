//! Bounds of a listener and of what callers send.

use std::time::Duration;

/// Bounds of one listener.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Connections at once, per worker thread.
    pub connections: usize,
    /// Streams at once on one HTTP/2 connection.
    pub streams: u32,
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for the TLS handshake and a request's head.
    pub head_time: Duration,
    /// Time for a request's body.
    pub body_time: Duration,
    /// Time that a connection may stay without a request.
    pub idle_time: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4096,
            streams: 256,
            head_bytes: 32 << 10,
            body_bytes: 1 << 20,
            head_time: Duration::from_secs(5),
            body_time: Duration::from_secs(10),
            idle_time: Duration::from_secs(120),
        }
    }
}

/// Bounds of what a caller may ask for.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Time to answer when the caller names none.
    pub usual_deadline: Duration,
    /// Longest time to answer that a caller may name.
    pub longest_deadline: Duration,
    /// Tokens generated when the caller names no number.
    pub usual_tokens: u32,
}

impl Default for Ask {
    fn default() -> Self {
        Self {
            usual_deadline: Duration::from_secs(60),
            longest_deadline: Duration::from_secs(600),
            usual_tokens: 256,
        }
    }
}
