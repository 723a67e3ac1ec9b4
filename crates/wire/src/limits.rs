//! Bounds of connections.

use std::time::Duration;

/// Longest frame that the codec reads, whatever the limits say.
pub const MAX_FRAME_LEN: usize = 8 << 20;
/// Longest frame of a connection that has not proved to know the key.
pub const MAX_HELLO_LEN: usize = 64;

/// Bounds and times.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Longest frame in bytes.
    pub max_frame_len: usize,
    /// Connections that peers opened.
    pub max_inbound_connections: usize,
    /// Peers that this node keeps a route to; the least used one closes for another.
    pub max_routes: usize,
    /// Frames that wait for one peer; one more is dropped and counted, since gossip repeats and
    /// asks time out.
    pub queue_capacity: usize,
    /// Time to connect and to exchange nonces, and for a peer to prove that it knows the key.
    pub handshake_timeout: Duration,
    /// How long a connection may leave a sent frame unconfirmed before it counts as silent.
    pub confirm_timeout: Duration,
    /// How long an unused connection stays open.
    pub idle_timeout: Duration,
    /// How long an ask may take.
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
