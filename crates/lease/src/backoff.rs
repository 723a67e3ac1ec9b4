//! When to try again after a failure: exponential, bounded, jittered.

use crate::Now;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Doublings after which the wait stays at its bound.
const MAX_DOUBLINGS: u32 = 16;

/// Time of the next try of one call.
#[derive(Clone, Debug, Default)]
pub struct Backoff {
    failures: u32,
    due: Now,
}

impl Backoff {
    /// Whether a try may start.
    pub fn is_ready(&self, now: Now) -> bool {
        now >= self.due
    }

    /// Failures in a row.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// A try failed: the next one waits between half of the present step and the whole of it.
    pub fn record_failure(
        &mut self,
        now: Now,
        min: Duration,
        max: Duration,
        random: &mut ChaCha8Rng,
    ) {
        let factor = 1 << self.failures.min(MAX_DOUBLINGS);
        let step = min.saturating_mul(factor).min(max);
        self.failures = self.failures.saturating_add(1);
        self.due = now + step.mul_f64(random.random_range(0.5..=1.0));
    }

    /// A try succeeded; the next one starts no sooner than `due`.
    pub fn record_success(&mut self, due: Now) {
        *self = Self { failures: 0, due };
    }
}
