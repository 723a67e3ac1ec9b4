//! Retry budget: a token bucket filled by first attempts and by the fleet's budget.
//!
//! Without a budget, each node would retry each request several times on the remaining endpoints
//! when a zone is lost. Each first attempt earns a fraction of a retry, so that retries stay a
//! fraction of the work. The capacity is at least half of the number of running requests, so that
//! the loss of many attempts at once is recovered immediately.

use crate::Now;

/// Capacity of the bucket, as a fraction of the running requests.
const RUNNING_FRACTION: f64 = 0.5;

/// Units of one retry; integer units keep sums of fractions exact.
const UNITS_PER_RETRY: f64 = 1e6;

/// Retry budget of one router.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    level: u64,
    earned: u64,
    refilled_at: Now,
    /// Number of retries granted.
    pub granted: u64,
}

impl Budget {
    /// Creates a budget with `burst` retries available.
    pub fn new(burst: f64) -> Self {
        let level = units(burst);
        Self {
            level,
            earned: level,
            refilled_at: Now::ZERO,
            granted: 0,
        }
    }

    /// Returns the number of whole retries available.
    pub fn level(&self) -> u64 {
        self.level / units(1.0)
    }

    /// Returns the number of whole retries added, including the initial burst.
    pub fn earned(&self) -> u64 {
        self.earned / units(1.0)
    }

    /// Adds `rate` retries per second, the share of the fleet's budget, for the time since the last
    /// call.
    pub fn refill(&mut self, now: Now, rate: f64, burst: f64, running: usize) {
        let time = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.add(time * rate.max(0.0), burst, running);
    }

    /// Adds the retries earned by a first attempt.
    pub fn earn(&mut self, ratio: f64, burst: f64, running: usize) {
        self.add(ratio, burst, running);
    }

    fn add(&mut self, amount: f64, burst: f64, running: usize) {
        let size = units(burst.max(running as f64 * RUNNING_FRACTION));
        let added = units(amount).min(size.saturating_sub(self.level));
        self.level += added;
        self.earned += added;
    }

    /// Takes one retry; returns whether one was available.
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
