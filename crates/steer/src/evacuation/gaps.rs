//! Idle detection by the times between a response's own events.

use std::time::Duration;

/// Number of gaps over which the mean is computed.
const SAMPLES: u32 = 8;
/// Idle time, as a multiple of the mean gap, above which a response counts as idle.
const IDLE_FACTOR: f64 = 1.5;
/// Minimum idle time. Short gaps vary by more than their factor, since steps of several requests
/// share an endpoint.
const MIN_IDLE: Duration = Duration::from_millis(40);
/// Fraction of the latency target after which a response without events counts as idle. A new chain
/// has its first event after 60 to 90 ms, which leaves time for its queue.
const FIRST_EVENT_FRACTION: f64 = 0.2;

/// Times between the last events of a response.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gaps {
    mean: Duration,
    samples: u32,
}

impl Gaps {
    /// Records the time between two events.
    pub fn record(&mut self, gap: Duration) {
        self.samples = (self.samples + 1).min(SAMPLES);
        let weight = 1.0 / f64::from(self.samples);
        self.mean = self.mean.mul_f64(1.0 - weight) + gap.mul_f64(weight);
    }

    /// Returns the time since the last event, or since the request was sent, from which the response
    /// counts as idle. Without a gap, it depends on the time within which the first event is due.
    pub fn idle_after(&self, latency_target: Duration) -> Duration {
        let idle = match self.samples {
            0 => latency_target.mul_f64(FIRST_EVENT_FRACTION),
            _ => self.mean.mul_f64(IDLE_FACTOR),
        };
        idle.max(MIN_IDLE)
    }
}
