//! Limits and timeouts of connections.

use std::time::Duration;

/// Longest frame in bytes that is decoded, even if [`Limits::max_frame_len`] is greater.
pub const MAX_FRAME_LEN: usize = 8 << 20;
/// Longest frame in bytes before the keys are derived, which is a hello.
pub const MAX_HELLO_LEN: usize = 64;

/// Limits and timeouts of a link.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Longest frame in bytes, without its MAC.
    pub max_frame_len: usize,
    /// Maximum number of open connections that peers opened; further ones are refused.
    pub max_inbound_connections: usize,
    /// Maximum number of peers that this node keeps a route to; a new route evicts the least
    /// recently used one, whose connection closes once its frames are delivered.
    pub max_routes: usize,
    /// Maximum number of frames queued for one peer. Further frames are dropped and counted, which
    /// is safe because gossip is repeated and calls time out.
    pub queue_capacity: usize,
    /// Timeout for connecting and exchanging hellos. A peer that connects has twice this time
    /// from its request to its first authenticated frame.
    pub handshake_timeout: Duration,
    /// Time in which a peer has to take a frame and to answer the ping that follows it; after it
    /// the connection is closed as unresponsive.
    pub confirm_timeout: Duration,
    /// Time after which a connection without frames in either direction is closed.
    pub idle_timeout: Duration,
    /// Time that a call may take.
    pub call_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_frame_len: 4 << 20,
            max_inbound_connections: 512,
            max_routes: 64,
            queue_capacity: 64,
            handshake_timeout: Duration::from_millis(500),
            confirm_timeout: Duration::from_millis(500),
            idle_timeout: Duration::from_secs(20),
            call_timeout: Duration::from_secs(2),
        }
    }
}
