//! Retry budget: a token bucket fed by first attempts and by the fleet's budget.
//!
//! Without it, a lost zone makes each node send each request several times into what is left.
//! First attempts earn a fraction of a retry each, so retries stay a fraction of the work. The
//! bucket holds a burst as large as half of what runs, so that one loss is recovered at once.

use crate::Now;

/// Part of the running requests that the bucket can hold.
const RUNNING_FRACTION: f64 = 0.5;

/// One retry, in the units that are counted: sums of fractions stay exact.
const UNITS_PER_RETRY: f64 = 1e6;

/// The budget.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    level: u64,
    earned: u64,
    refilled_at: Now,
    /// Retries granted so far.
    pub granted: u64,
}

impl Budget {
    /// A budget with `burst` retries saved up.
    pub fn new(burst: f64) -> Self {
        let level = units(burst);
        Self {
            level,
            earned: level,
            refilled_at: Now::ZERO,
            granted: 0,
        }
    }

    /// Whole retries saved up.
    pub fn level(&self) -> u64 {
        self.level / units(1.0)
    }

    /// Whole retries put in so far, with the first filling.
    pub fn earned(&self) -> u64 {
        self.earned / units(1.0)
    }

    /// Adds the fleet's `rate` per second since the last call.
    pub fn refill(&mut self, now: Now, rate: f64, burst: f64, running: usize) {
        let time = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.add(time * rate.max(0.0), burst, running);
    }

    /// Adds what a first attempt earns.
    pub fn earn(&mut self, ratio: f64, burst: f64, running: usize) {
        self.add(ratio, burst, running);
    }

    fn add(&mut self, amount: f64, burst: f64, running: usize) {
        let size = units(burst.max(running as f64 * RUNNING_FRACTION));
        let added = units(amount).min(size.saturating_sub(self.level));
        self.level += added;
        self.earned += added;
    }

    /// Takes one retry; whether there was one.
    pub fn take(&mut self) -> bool {
        let Some(level) = self.level.checked_sub(units(1.0)) else {
            return false;
        };
        self.level = level;
        self.granted += 1;
        true
    }
}

fn units(retries: f64) -> u64 {
    (retries * UNITS_PER_RETRY) as u64
}
