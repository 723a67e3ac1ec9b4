//! Counters of a pool.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

/// Counters since the creation of the pool.
#[derive(Debug, Default)]
pub struct Counters {
    /// Connections established.
    pub connects: AtomicU64,
    /// Connection attempts that failed.
    pub connect_failures: AtomicU64,
    /// Streams opened.
    pub streams: AtomicU64,
    /// Streams opened again on a new connection because the pooled connection had been closed.
    pub reopens: AtomicU64,
    /// Heads and chunks of payload that were dropped because their attempt had ended.
    pub stale_frames: AtomicU64,
    /// Steps completed by all stages of a chain.
    pub steps: AtomicU64,
    /// Bytes of activations relayed between stages.
    pub relayed: AtomicU64,
}

impl Counters {
    pub(crate) fn add(counter: &AtomicU64, n: u64) {
        counter.fetch_add(n, Ordering::Relaxed);
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let get = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        writeln!(f, "connects {}", get(&self.connects))?;
        writeln!(f, "connect_failures {}", get(&self.connect_failures))?;
        writeln!(f, "streams {}", get(&self.streams))?;
        writeln!(f, "reopens {}", get(&self.reopens))?;
        writeln!(f, "stale_frames {}", get(&self.stale_frames))?;
        writeln!(f, "steps {}", get(&self.steps))?;
        writeln!(f, "relayed {}", get(&self.relayed))
    }
}
