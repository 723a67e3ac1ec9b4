//! What a worker counts for itself and its dump; what operators collect is in the metrics.

use std::cell::Cell;
use std::fmt;

/// Counters; a worker's own thread alone counts.
#[derive(Debug, Default)]
pub struct Stats {
    /// Attempts beyond the first.
    pub retries: Cell<u64>,
    /// Connections made to endpoints.
    pub connects: Cell<u64>,
    /// Findings about endpoints that control was too busy to take.
    pub dropped_transitions: Cell<u64>,
    /// Requests in flight.
    pub in_flight: Cell<u64>,
}

/// Adds one.
pub fn increment(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

/// Takes one away.
pub fn decrement(counter: &Cell<u64>) {
    counter.set(counter.get().saturating_sub(1));
}

impl fmt::Display for Stats {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let rows = [
            ("again", &self.retries),
            ("dialed", &self.connects),
            ("untold", &self.dropped_transitions),
            ("flying", &self.in_flight),
        ];
        rows.iter()
            .try_for_each(|(name, cell)| writeln!(f, "{name} {}", cell.get()))
    }
}
