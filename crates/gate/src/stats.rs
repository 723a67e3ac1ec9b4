//! Counters of a worker that are shown in the state dump. Those that operators monitor are in
//! [`crate::metrics`].

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;

/// Counters of one worker, updated by its own thread only.
#[derive(Debug, Default)]
pub struct Stats {
    /// Attempts beyond a request's first.
    pub retries: Cell<u64>,
    /// Connections that were opened to endpoints.
    pub connects: Cell<u64>,
    /// State transitions of endpoints that were not reported because the control task's queue was
    /// full.
    pub dropped_transitions: Cell<u64>,
    /// Requests in flight.
    pub in_flight: Cell<u64>,
    /// Open connections of callers.
    pub connections: Cell<u64>,
}

/// Increments a counter.
pub fn increment(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

/// Decrements a counter, down to zero.
fn decrement(counter: &Cell<u64>) {
    counter.set(counter.get().saturating_sub(1));
}

/// Counts something as present until it is dropped.
#[derive(Debug)]
pub struct Guard {
    stats: Rc<Stats>,
    counter: fn(&Stats) -> &Cell<u64>,
}

impl Guard {
    /// Increments the counter that `counter` selects; dropping the guard decrements it again.
    pub fn new(stats: Rc<Stats>, counter: fn(&Stats) -> &Cell<u64>) -> Self {
        increment(counter(&stats));
        Self { stats, counter }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        decrement((self.counter)(&self.stats));
    }
}

impl fmt::Display for Stats {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let rows = [
            ("again", &self.retries),
            ("dialed", &self.connects),
            ("untold", &self.dropped_transitions),
            ("flying", &self.in_flight),
            ("connected", &self.connections),
        ];
        rows.iter()
            .try_for_each(|(name, cell)| writeln!(f, "{name} {}", cell.get()))
    }
}
