//! Prefill and transfers that precede a moving response, by endpoint and by inter-zone link.

use crate::Timestamp;
use catalog::bounds;
use catalog::endpoint::Run;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Time after which callers leave a response that pauses.
const PATIENCE_SECS: f64 = 2.0;
/// Fraction of that time for which a link may be filled with transfers. The rest is left to decode
/// traffic and to the error of simulated moves.
const LINK_FRACTION: f64 = 0.75;

/// Queued work of moving responses, in seconds.
#[derive(Clone, Debug)]
pub struct Queues {
    /// Prefill by row of the selector's table.
    prefill: Vec<f64>,
    /// Capacity taken by row, in token-layers.
    load: Vec<f64>,
    /// Transfers by the indexes of both zones, the smaller one first.
    links: Vec<f64>,
    zones: usize,
    /// Time for which the work has been in progress.
    elapsed: f64,
}

impl Queues {
    /// Creates empty queues whose work began `elapsed` ago.
    pub fn new(rows: usize, zones: usize, elapsed: Duration) -> Self {
        Self {
            prefill: vec![0.0; rows],
            load: vec![0.0; rows],
            links: vec![0.0; zones * zones],
            zones,
            elapsed: elapsed.as_secs_f64(),
        }
    }

    /// Returns the prefill that precedes a response at an endpoint.
    pub fn prefill(&self, row: usize) -> f64 {
        (self.prefill[row] - self.elapsed).max(0.0)
    }

    /// Returns the capacity that moved responses take at an endpoint.
    pub fn load(&self, row: usize) -> f64 {
        self.load[row]
    }

    /// Returns the transfers that precede a response on the link between two zones.
    pub fn link(&self, a: usize, b: usize) -> f64 {
        (self.links[self.slot(a, b)] - self.elapsed).max(0.0)
    }

    /// Returns whether a link can carry a transfer before callers leave.
    pub fn carries(&self, a: usize, b: usize, secs: f64) -> bool {
        self.link(a, b) + secs <= PATIENCE_SECS * LINK_FRACTION
    }

    /// Adds prefill, and the capacity that it takes.
    pub fn add_prefill(&mut self, row: usize, secs: f64, load: f64) {
        self.prefill[row] += secs;
        self.load[row] += load;
    }

    /// Adds a transfer.
    pub fn add_transfer(&mut self, a: usize, b: usize, secs: f64) {
        let slot = self.slot(a, b);
        self.links[slot] += secs;
    }

    fn slot(&self, a: usize, b: usize) -> usize {
        a.min(b) * self.zones + a.max(b)
    }
}

/// Moves of this node that are in progress: when each endpoint and each link will have done its part
/// of them.
#[derive(Clone, Debug, Default)]
pub(crate) struct OwnMoves {
    endpoints: HashMap<Run, Timestamp>,
    links: BTreeMap<(usize, usize), Timestamp>,
}

impl OwnMoves {
    /// Records prefill at an endpoint.
    pub(crate) fn record_prefill(&mut self, now: Timestamp, run: &Run, secs: f64) {
        let until = self.endpoints.entry(run.clone()).or_default();
        *until = now.max(*until).saturating_add(bounds::duration(secs));
    }

    /// Records a transfer between two zones.
    pub(crate) fn record_transfer(&mut self, now: Timestamp, a: usize, b: usize, secs: f64) {
        let until = self.links.entry((a.min(b), a.max(b))).or_default();
        *until = now.max(*until).saturating_add(bounds::duration(secs));
    }

    /// Returns when an endpoint will have done its prefill.
    pub(crate) fn prefill_until(&self, run: &Run) -> Option<Timestamp> {
        self.endpoints.get(run).copied()
    }

    /// Adds the remaining work to queues; `row` returns the row of a run.
    pub(crate) fn add_to(
        &self,
        now: Timestamp,
        queues: &mut Queues,
        row: impl Fn(&Run) -> Option<usize>,
    ) {
        // The queues subtract the time for which simulated work has been in progress.
        let elapsed = queues.elapsed;
        for (run, until) in &self.endpoints {
            if let Some(row) = row(run).filter(|_| *until > now) {
                queues.add_prefill(row, until.saturating_sub(now).as_secs_f64() + elapsed, 0.0);
            }
        }
        for (&(a, b), until) in self.links.iter().filter(|(_, until)| **until > now) {
            queues.add_transfer(a, b, until.saturating_sub(now).as_secs_f64() + elapsed);
        }
    }

    /// Drops the work that is done.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.endpoints.retain(|_, until| *until > now);
        self.links.retain(|_, until| *until > now);
    }
}
