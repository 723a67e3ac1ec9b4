//! When to try again after a failure: exponential, bounded, jittered.

use crate::Now;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Doublings after which the wait stays at its bound.
const MAX_DOUBLINGS: u32 = 16;

/// Time of the next try of one call.
#[derive(Clone, Debug, Default)]
pub struct Retry {
    failures: u32,
    due: Now,
}

impl Retry {
    /// Whether a try may start.
    pub fn ready(&self, now: Now) -> bool {
        now >= self.due
    }

    /// Failures in a row.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// A try failed: the next one waits between half of the present step and the whole of it.
    pub fn failed(&mut self, now: Now, least: Duration, most: Duration, random: &mut ChaCha8Rng) {
        let factor = 1 << self.failures.min(MAX_DOUBLINGS);
        let step = least.saturating_mul(factor).min(most);
        self.failures = self.failures.saturating_add(1);
        self.due = now + step.mul_f64(random.random_range(0.5..=1.0));
    }

    /// A try succeeded; the next one starts no sooner than `due`.
    pub fn succeeded(&mut self, due: Now) {
        *self = Self { failures: 0, due };
    }
}
