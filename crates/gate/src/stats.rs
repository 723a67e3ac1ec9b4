//! Counters of one worker.

use std::cell::Cell;
use std::fmt;

/// Counters; a worker's own thread alone counts.
#[derive(Debug, Default)]
pub struct Stats {
    /// Requests that came.
    pub requests: Cell<u64>,
    /// Requests that got an endpoint's answer.
    pub answered: Cell<u64>,
    /// Requests that the node refused or failed by itself.
    pub refused: Cell<u64>,
    /// Answers that were broken off.
    pub broken: Cell<u64>,
    /// Attempts beyond the first.
    pub again: Cell<u64>,
    /// Connections made to endpoints.
    pub dialed: Cell<u64>,
    /// Findings about endpoints that control was too busy to take.
    pub untold: Cell<u64>,
    /// Requests in flight.
    pub flying: Cell<u64>,
}

/// Adds one.
pub fn add(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

/// Takes one away.
pub fn sub(counter: &Cell<u64>) {
    counter.set(counter.get().saturating_sub(1));
}

impl fmt::Display for Stats {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let rows = [
            ("requests", &self.requests),
            ("answered", &self.answered),
            ("refused", &self.refused),
            ("broken", &self.broken),
            ("again", &self.again),
            ("dialed", &self.dialed),
            ("untold", &self.untold),
            ("flying", &self.flying),
        ];
        rows.iter()
            .try_for_each(|(name, cell)| writeln!(f, "{name} {}", cell.get()))
    }
}
