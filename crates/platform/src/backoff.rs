//! Waits between retries: exponential, bounded and jittered.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// Doublings after which the wait stays at its bound whatever the settings.
const MAX_DOUBLINGS: u32 = 20;

/// The waits of one caller towards one service. It reads no clock: the caller waits.
///
/// Each wait is drawn evenly from half of the present step to the whole of it: without the draw,
/// nodes that saw the same outage begin would all come back in the same moment.
#[derive(Debug)]
pub struct Backoff {
    min: Duration,
    max: Duration,
    failures: u32,
    random: StdRng,
}

impl Backoff {
    /// Waits from `min` to `max`; nodes pass different seeds.
    pub fn new(min: Duration, max: Duration, seed: u64) -> Self {
        Self {
            min,
            max: max.max(min),
            failures: 0,
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// The wait after one more failure; `after` is what the service asked for, if it did.
    pub fn record_failure(&mut self, after: Option<Duration>) -> Duration {
        let step = self.step();
        self.failures = self.failures.saturating_add(1);
        let wait = step.mul_f64(self.random.random_range(0.5..=1.0));
        wait.max(after.unwrap_or_default()).min(self.max)
    }

    /// A call succeeded: the next wait is the min again.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Failures since the last success.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    fn step(&self) -> Duration {
        let factor = 1 << self.failures.min(MAX_DOUBLINGS);
        self.min.saturating_mul(factor).min(self.max)
    }
}
