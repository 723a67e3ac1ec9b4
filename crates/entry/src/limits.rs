//! Limits of a listener and of callers' requests.

use memory::budget::{Budget, Class};
use memory::shares::{DEFAULT_MEMORY_BYTES, Shares};
use std::time::Duration;

/// Limits of one listener.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum number of concurrent connections per worker thread.
    pub max_connections: usize,
    /// Maximum number of concurrent streams of an HTTP/2 connection.
    pub max_streams: u32,
    /// Maximum size of a request's head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// Timeout of the TLS handshake, and of receiving a request's head.
    pub head_timeout: Duration,
    /// Timeout of receiving a request's body.
    pub body_timeout: Duration,
    /// Time without progress after which a connection is closed.
    pub idle_timeout: Duration,
    /// Memory for the bodies of requests and for answers; clones share it.
    pub memory: Budget,
}

impl Limits {
    /// Returns whether so little memory is left that callers without progress have to give way.
    pub(crate) fn is_memory_scarce(&self) -> bool {
        self.memory.used() > self.memory.capacity(Class::Large) / 2
    }
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
            memory: Shares::of(DEFAULT_MEMORY_BYTES).budget(),
        }
    }
}

/// Defaults and limits of callers' requests.
#[derive(Clone, Debug)]
pub struct RequestLimits {
    /// Deadline of a request that sets none.
    pub default_deadline: Duration,
    /// Maximum deadline; longer ones are reduced to it.
    pub max_deadline: Duration,
    /// Maximum number of tokens to generate for a request that sets none.
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
