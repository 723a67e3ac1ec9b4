//! Load reports of endpoints.

use crate::Timestamp;
use std::time::Duration;

/// Age from which a report is ignored: most of the requests that it counted have ended.
const MAX_REPORT_AGE: Duration = Duration::from_secs(4);

/// Load report of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Number that identifies the report among those of the endpoint; later reports have higher
    /// numbers.
    pub stamp: u64,
    /// Capacity in use, in token-layers.
    pub used: f64,
    /// How many times slower the endpoint runs than its kind of accelerator.
    pub slowdown: f64,
    /// Number of requests that wait to begin with this endpoint as the head of their chain.
    pub queued: u32,
    /// Age of the report when it was published.
    pub age: Duration,
}

/// Last load report of an endpoint, with the capacity that this worker had reserved there when it
/// arrived.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Snapshot {
    load: Load,
    taken_at: Timestamp,
    reserved: f64,
}

impl Snapshot {
    /// Creates a snapshot from a report that arrived at `now`, when this worker had `reserved`
    /// token-layers reserved.
    pub fn new(load: Load, now: Timestamp, reserved: f64) -> Self {
        Self {
            load,
            taken_at: now.saturating_sub(load.age),
            reserved,
        }
    }

    /// Records that the endpoint has just refused a request as full. This is newer than its report;
    /// until it reports again, the requests that fill it are assumed to end over time.
    pub fn mark_full(&mut self, now: Timestamp, capacity: f64, reserved: f64) {
        self.taken_at = now;
        self.load.used = capacity;
        self.reserved = reserved;
    }

    /// Returns the number of requests that wait to begin at the endpoint; 0 if the report is too
    /// old.
    pub fn queued(&self, now: Timestamp) -> u32 {
        match self.age(now) < MAX_REPORT_AGE {
            true => self.load.queued,
            false => 0,
        }
    }

    /// Returns the age of the report.
    pub fn age(&self, now: Timestamp) -> Duration {
        now.saturating_sub(self.taken_at)
    }

    /// Returns whether `load` is a different report.
    pub fn differs(&self, load: &Load) -> bool {
        self.load.stamp != load.stamp
    }

    /// Returns the capacity in use now, in token-layers: what this worker has reserved, and what
    /// the report counted for other nodes, less the requests that have ended since at a mean
    /// residence time of `residence`. Returns `None` if the report is too old.
    pub fn used(&self, now: Timestamp, reserved: f64, residence: Duration) -> Option<f64> {
        let age = self.age(now);
        let others = (self.load.used - self.reserved).max(0.0);
        let remaining = (-age.as_secs_f64() / residence.as_secs_f64().max(1e-9)).exp();
        (age < MAX_REPORT_AGE).then_some(reserved + others * remaining)
    }
}
