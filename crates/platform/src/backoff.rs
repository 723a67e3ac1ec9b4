//! Delays between retries: exponential backoff with a maximum and jitter.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// Maximum number of doublings of the minimum delay. The step doesn't grow any further, whatever
/// the settings.
const MAX_DOUBLINGS: u32 = 20;

/// Backoff of one caller towards one service. It reads no clock; the caller sleeps.
///
/// Each delay is drawn uniformly from half of the current step to the full step. Without this
/// jitter, all nodes that see the start of the same outage would retry at the same time.
#[derive(Debug)]
pub struct Backoff {
    min: Duration,
    max: Duration,
    failures: u32,
    random: StdRng,
}

impl Backoff {
    /// Creates a backoff whose steps range from `min` to `max`. Each node passes a different seed.
    pub fn new(min: Duration, max: Duration, seed: u64) -> Self {
        Self {
            min,
            max: max.max(min),
            failures: 0,
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Records a failure and returns the delay before the next retry. `retry_after` is the
    /// retry-after delay of the service, if any; the returned delay is at least that, within the
    /// maximum.
    pub fn record_failure(&mut self, retry_after: Option<Duration>) -> Duration {
        let step = self.step();
        self.failures = self.failures.saturating_add(1);
        let delay = step.mul_f64(self.random.random_range(0.5..=1.0));
        delay.max(retry_after.unwrap_or_default()).min(self.max)
    }

    /// Records a success: the next step is the minimum again.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Returns the number of failures since the last success.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns the current step: the upper end of the range that a delay is drawn from.
    fn step(&self) -> Duration {
        let factor = 1 << self.failures.min(MAX_DOUBLINGS);
        self.min.saturating_mul(factor).min(self.max)
    }
}
