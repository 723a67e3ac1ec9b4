//! Bounded exponential backoff with jitter.

use crate::Now;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Number of doublings after which the delay no longer grows.
const MAX_DOUBLINGS: u32 = 16;

/// Earliest time of the next attempt of one call.
#[derive(Clone, Debug, Default)]
pub struct Backoff {
    failures: u32,
    due: Now,
}

impl Backoff {
    /// Returns whether the next attempt may start.
    pub fn is_ready(&self, now: Now) -> bool {
        now >= self.due
    }

    /// Number of consecutive failures.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Records a failed attempt and delays the next one by a random time between half of the
    /// current backoff step and all of it. The step grows from `min` to at most `max`.
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

    /// Records a successful attempt. The next one starts no earlier than `due`.
    pub fn record_success(&mut self, due: Now) {
        *self = Self { failures: 0, due };
    }
}
