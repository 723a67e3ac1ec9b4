//! Bounds of connections.

use std::time::Duration;

/// Longest frame that the codec reads, whatever the limits say.
pub const MAX_FRAME: usize = 8 << 20;
/// Longest frame of a connection that has not proved to know the key.
pub const MAX_HELLO: usize = 64;

/// Bounds and times.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Longest frame in bytes.
    pub frame: usize,
    /// Connections that peers opened.
    pub inbound: usize,
    /// Peers that this node keeps a route to; the least used one closes for another.
    pub routes: usize,
    /// Frames that wait for one peer; one more is dropped and counted, since gossip repeats and
    /// asks time out.
    pub queue: usize,
    /// Time to connect and to exchange nonces, and for a peer to prove that it knows the key.
    pub handshake: Duration,
    /// How long a connection may leave a sent frame unconfirmed before it counts as silent.
    pub silent: Duration,
    /// How long an unused connection stays open.
    pub idle: Duration,
    /// How long an ask may take.
    pub ask: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            frame: 4 << 20,
            inbound: 512,
            routes: 64,
            queue: 64,
            handshake: Duration::from_millis(500),
            silent: Duration::from_millis(500),
            idle: Duration::from_secs(20),
            ask: Duration::from_secs(2),
        }
    }
}
