//! Bounds of a listener and of what callers send.

use std::time::Duration;

/// Bounds of one listener.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Connections at once, per worker thread.
    pub max_connections: usize,
    /// Streams at once on one HTTP/2 connection.
    pub max_streams: u32,
    /// Bytes of a request's head.
    pub max_head_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// Time for the TLS handshake and a request's head.
    pub head_timeout: Duration,
    /// Time for a request's body.
    pub body_timeout: Duration,
    /// Time that a connection may stay without a request.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_connections: 4096,
            max_streams: 256,
            max_head_bytes: 32 << 10,
            max_body_bytes: 1 << 20,
            head_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(120),
        }
    }
}

/// Bounds of what a caller may ask for.
#[derive(Clone, Debug)]
pub struct RequestLimits {
    /// Time to answer when the caller names none.
    pub default_deadline: Duration,
    /// Longest time to answer that a caller may name.
    pub max_deadline: Duration,
    /// Tokens generated when the caller names no number.
    pub default_max_tokens: u32,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            default_deadline: Duration::from_secs(60),
            max_deadline: Duration::from_secs(600),
            default_max_tokens: 256,
        }
    }
}
