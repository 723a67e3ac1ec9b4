//! Retry budget: a token bucket fed by first attempts and by the fleet's budget.
//!
//! Without it, a lost zone makes each node send each request several times into what is left.
//! First attempts earn a fraction of a retry each, so retries stay a fraction of the work. The
//! bucket holds a burst as large as half of what runs, so that one loss is recovered at once.

use crate::Now;

/// Part of the running requests that the bucket can hold.
const RUNNING_PART: f64 = 0.5;

/// The budget.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    level: f64,
    filled: Now,
    /// Retries put in so far, with the first filling.
    pub earned: f64,
    /// Retries granted so far.
    pub granted: u64,
}

impl Budget {
    /// A budget with `burst` retries saved up.
    pub fn new(burst: f64) -> Self {
        Self {
            level: burst,
            filled: Now::ZERO,
            earned: burst,
            granted: 0,
        }
    }

    /// Retries saved up.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Adds the fleet's `rate` per second since the last call.
    pub fn fill(&mut self, now: Now, rate: f64, burst: f64, running: usize) {
        let time = now.saturating_sub(self.filled).as_secs_f64();
        self.filled = self.filled.max(now);
        self.add(time * rate.max(0.0), burst, running);
    }

    /// Adds what a first attempt earns.
    pub fn earn(&mut self, ratio: f64, burst: f64, running: usize) {
        self.add(ratio, burst, running);
    }

    fn add(&mut self, amount: f64, burst: f64, running: usize) {
        let size = burst.max(running as f64 * RUNNING_PART);
        let added = amount.min((size - self.level).max(0.0));
        self.level += added;
        self.earned += added;
    }

    /// Takes one retry; whether there was one.
    pub fn take(&mut self) -> bool {
        if self.level < 1.0 {
            return false;
        }
        self.level -= 1.0;
        self.granted += 1;
        true
    }
}
