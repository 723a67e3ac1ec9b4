//! Event counters of a link.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

/// A counter that only grows.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds `n`.
    pub(crate) fn add(&self, n: u64) {
        self.0.fetch_add(n, Ordering::Relaxed);
    }

    /// Returns the current value.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Counters of a link since its start. Their `Display` is one line per counter with its name.
#[derive(Debug, Default)]
pub struct Counters {
    /// Connections that this node opened, counted when the stream is requested.
    pub dialed: Counter,
    /// Connections accepted from peers, before their handshake.
    pub accepted: Counter,
    /// Connections refused because `max_inbound_connections` were open.
    pub refused: Counter,
    /// Frames sent.
    pub sent: Counter,
    /// Bytes of frames sent, including length prefix and MAC.
    pub sent_bytes: Counter,
    /// Frames received.
    pub received: Counter,
    /// Bytes of frames received, including length prefix and MAC.
    pub received_bytes: Counter,
    /// Connections closed because of a wrong MAC.
    pub bad_mac: Counter,
    /// Connections closed because of a frame that is too long, can't be decoded or has an
    /// unsupported version.
    pub bad_frame: Counter,
    /// Accepted connections that did not finish their handshake in time.
    pub slow_hello: Counter,
    /// Connections closed as unresponsive: a frame was not taken or a ping not answered in time.
    pub silent: Counter,
    /// Attempts to open a connection to a peer that failed.
    pub unreached: Counter,
    /// Frames dropped because the queue to their peer was full.
    pub dropped: Counter,
    /// Frames given up after the last try without a confirmation.
    pub lost: Counter,
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counters = [
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
            ("lost", &self.lost),
        ];
        counters
            .iter()
            .try_for_each(|(name, count)| writeln!(f, "{name} {}", count.get()))
    }
}
