//! What an endpoint reported of its load.

use crate::Timestamp;
use std::time::Duration;

/// Age from which a report says nothing any more: most requests of then have ended.
const MAX_REPORT_AGE: Duration = Duration::from_secs(4);

/// A report of an endpoint's load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Tells reports of one endpoint apart; a later one has a higher number.
    pub stamp: u64,
    /// Room in use, in tokens times layers.
    pub used: f64,
    /// How many times slower than its kind it runs.
    pub slowdown: f64,
    /// Requests that wait there to begin as the first endpoint of their chain.
    pub queued: u32,
    /// How old it was when it was published.
    pub age: Duration,
}

/// The last report, and what this worker held at the endpoint when it came.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Snapshot {
    load: Load,
    taken_at: Timestamp,
    reserved: f64,
}

impl Snapshot {
    /// A report that came at `now`, when this worker reserved `held` there.
    pub fn new(load: Load, now: Timestamp, reserved: f64) -> Self {
        Self {
            load,
            taken_at: now.saturating_sub(load.age),
            reserved,
        }
    }

    /// The endpoint has just refused a request as full. This is newer than its report, and what
    /// fills it ends by and by, until it reports again.
    pub fn mark_full(&mut self, now: Timestamp, capacity: f64, reserved: f64) {
        self.taken_at = now;
        self.load.used = capacity;
        self.reserved = reserved;
    }

    /// Requests that wait there to begin, if the report still says anything.
    pub fn queued(&self, now: Timestamp) -> u32 {
        match self.age(now) < MAX_REPORT_AGE {
            true => self.load.queued,
            false => 0,
        }
    }

    /// How old the report is.
    pub fn age(&self, now: Timestamp) -> Duration {
        now.saturating_sub(self.taken_at)
    }

    /// Whether `load` is another report than this.
    pub fn differs(&self, load: &Load) -> bool {
        self.load.stamp != load.stamp
    }

    /// Room in use now: by this worker, and by the requests of others that the report counted and
    /// that have not ended since, if a request stays for `stay` on average.
    pub fn used(&self, now: Timestamp, reserved: f64, residence: Duration) -> Option<f64> {
        let age = self.age(now);
        let others = (self.load.used - self.reserved).max(0.0);
        let remaining = (-age.as_secs_f64() / residence.as_secs_f64().max(1e-9)).exp();
        (age < MAX_REPORT_AGE).then_some(reserved + others * remaining)
    }
}
