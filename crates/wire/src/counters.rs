//! Counters of a link.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

/// A counter.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds `n`.
    pub(crate) fn add(&self, n: u64) {
        self.0.fetch_add(n, Ordering::Relaxed);
    }

    /// The value.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// What happened so far.
#[derive(Debug, Default)]
pub struct Counters {
    /// Connections opened.
    pub dialed: Counter,
    /// Connections accepted.
    pub accepted: Counter,
    /// Connections refused over the bound.
    pub refused: Counter,
    /// Frames sent.
    pub sent: Counter,
    /// Bytes of frames sent, with length and MAC.
    pub sent_bytes: Counter,
    /// Frames received.
    pub received: Counter,
    /// Bytes of frames received, with length and MAC.
    pub received_bytes: Counter,
    /// Connections closed for a wrong MAC.
    pub bad_mac: Counter,
    /// Connections closed for a frame that is too long or cannot be read.
    pub bad_frame: Counter,
    /// Connections that did not finish their handshake in time.
    pub slow_hello: Counter,
    /// Connections that went silent.
    pub silent: Counter,
    /// Peers that could not be reached over a new connection.
    pub unreached: Counter,
    /// Frames dropped for a full queue.
    pub dropped: Counter,
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let rows = [
            ("dialed", &self.dialed),
            ("accepted", &self.accepted),
            ("refused", &self.refused),
            ("sent", &self.sent),
            ("sent_bytes", &self.sent_bytes),
            ("received", &self.received),
            ("received_bytes", &self.received_bytes),
            ("bad_mac", &self.bad_mac),
            ("bad_frame", &self.bad_frame),
            ("slow_hello", &self.slow_hello),
            ("silent", &self.silent),
            ("unreached", &self.unreached),
            ("dropped", &self.dropped),
        ];
        rows.iter()
            .try_for_each(|(name, count)| writeln!(f, "{name} {}", count.get()))
    }
}
