//! What an endpoint reported of its load.

use crate::Now;
use std::time::Duration;

/// Age from which a report says nothing any more: most requests of then have ended.
const OLD: Duration = Duration::from_secs(4);

/// A report of an endpoint's load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Tells reports of one endpoint apart; a later one has a higher number.
    pub stamp: u64,
    /// Room in use, in tokens times layers.
    pub used: f64,
    /// How many times slower than its kind it runs.
    pub pace: f64,
    /// Requests that wait there to begin as the first endpoint of their chain.
    pub queued: u32,
    /// How old it was when it was published.
    pub age: Duration,
}

/// The last report, and what this worker held at the endpoint when it came.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Known {
    load: Load,
    at: Now,
    held: f64,
}

impl Known {
    /// A report that came at `now`, when this worker held `held` there.
    pub fn new(load: Load, now: Now, held: f64) -> Self {
        Self {
            load,
            at: now.saturating_sub(load.age),
            held,
        }
    }

    /// The endpoint has just refused a request as full. This is newer than its report, and what
    /// fills it ends by and by, until it reports again.
    pub fn fill(&mut self, now: Now, room: f64, held: f64) {
        self.at = now;
        self.load.used = room;
        self.held = held;
    }

    /// Requests that wait there to begin, if the report still says anything.
    pub fn queued(&self, now: Now) -> u32 {
        match self.age(now) < OLD {
            true => self.load.queued,
            false => 0,
        }
    }

    /// How old the report is.
    pub fn age(&self, now: Now) -> Duration {
        now.saturating_sub(self.at)
    }

    /// Whether `load` is another report than this.
    pub fn differs(&self, load: &Load) -> bool {
        self.load.stamp != load.stamp
    }

    /// Room in use now: by this worker, and by the requests of others that the report counted and
    /// that have not ended since, if a request stays for `stay` on average.
    pub fn used(&self, now: Now, held: f64, stay: Duration) -> Option<f64> {
        let age = self.age(now);
        let others = (self.load.used - self.held).max(0.0);
        let left = (-age.as_secs_f64() / stay.as_secs_f64().max(1e-9)).exp();
        (age < OLD).then_some(held + others * left)
    }
}
