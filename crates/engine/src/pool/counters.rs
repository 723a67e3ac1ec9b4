//! Counts of a pool.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

/// Counts since the pool was made.
#[derive(Debug, Default)]
pub struct Counters {
    /// Connections made.
    pub connects: AtomicU64,
    /// Connections that could not be made.
    pub connect_failures: AtomicU64,
    /// Streams opened.
    pub streams: AtomicU64,
    /// Opens sent again on a fresh connection, since a kept one had gone.
    pub reopens: AtomicU64,
    /// Frames of ended attempts that were dropped.
    pub stale_frames: AtomicU64,
    /// Steps run.
    pub steps: AtomicU64,
    /// Bytes of payload relayed.
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
