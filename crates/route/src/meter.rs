//! Measurements of a line: its start rate and the durations of its requests.

use crate::Now;
use std::time::Duration;

/// Weight of one measurement in an exponentially weighted average.
const SMOOTHING_FACTOR: f64 = 0.1;
/// Window over which starts are counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Averages of one line; zero while unknown.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Meter {
    /// Time to the first token, in seconds.
    pub first_token: f64,
    /// Time between tokens, in seconds.
    pub token_gap: f64,
    /// Number of generated tokens, as a fraction of the maximum requested.
    pub token_fraction: f64,
    /// Requests started per second while others waited.
    pub start_rate: f64,
    starts: u32,
    window_start: Now,
    last_start: Now,
    saw_waiting: bool,
}

impl Meter {
    /// Records the start of a request; `waiting` tells whether others still wait. Time without any
    /// start is not counted. Otherwise a line that was idle would appear slow, and the next burst
    /// would be refused as overload.
    pub fn record_start(&mut self, now: Now, waiting: bool) {
        let idle = now.saturating_sub(self.last_start) >= RATE_WINDOW;
        self.last_start = now;
        if self.starts == 0 || idle {
            self.window_start = now;
            self.starts = 0;
            self.saw_waiting = false;
        }
        self.starts += 1;
        self.saw_waiting |= waiting;
        self.roll(now);
    }

    fn roll(&mut self, now: Now) {
        let time = now.saturating_sub(self.window_start);
        if time < RATE_WINDOW {
            return;
        }
        let rate = f64::from(self.starts) / time.as_secs_f64();
        if self.saw_waiting {
            smooth(&mut self.start_rate, rate, SMOOTHING_FACTOR * 5.0);
        } else if self.start_rate > 0.0 {
            // No request waited, so that more could have been started; the measurement can only
            // raise a known rate.
            self.start_rate = self.start_rate.max(rate);
        }
        self.starts = 0;
        self.saw_waiting = false;
    }

    /// Records the time to the first token.
    pub fn record_first_token(&mut self, took: Duration) {
        smooth(&mut self.first_token, took.as_secs_f64(), SMOOTHING_FACTOR);
    }

    /// Records a request that generated `tokens` of at most `max_tokens` tokens, in `took` after
    /// the first one.
    pub fn record_end(&mut self, tokens: u32, max_tokens: u32, took: Duration) {
        let part = f64::from(tokens) / f64::from(max_tokens.max(1));
        smooth(&mut self.token_fraction, part.min(1.0), SMOOTHING_FACTOR);
        if tokens > 1 {
            smooth(
                &mut self.token_gap,
                took.as_secs_f64() / f64::from(tokens - 1),
                SMOOTHING_FACTOR,
            );
        }
    }

    /// Returns the expected duration of a request that may generate `max_tokens` tokens.
    pub fn service_time(&self, max_tokens: u32) -> Duration {
        let tokens = f64::from(max_tokens) * self.token_fraction;
        Duration::from_secs_f64(self.first_token + tokens * self.token_gap)
    }

    /// Returns the expected wait behind `ahead` requests.
    pub fn expected_wait(&self, ahead: f64) -> Duration {
        let wait = if self.start_rate > 0.0 {
            ahead / self.start_rate
        } else {
            0.0
        };
        Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX)
    }
}

fn smooth(average: &mut f64, value: f64, gain: f64) {
    *average = if *average == 0.0 {
        value
    } else {
        *average + gain * (value - *average)
    };
}
