//! Measured times of a line: how fast it starts requests and how long they take.

use crate::Now;
use std::time::Duration;

/// Part that one measurement has in an average.
const GAIN: f64 = 0.1;
/// Time over which starts are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Measures of one line; zero where not known yet.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Meter {
    /// Time to the first token, in seconds.
    pub first: f64,
    /// Time between tokens, in seconds.
    pub gap: f64,
    /// Tokens made, as a part of the most asked for.
    pub part: f64,
    /// Requests started per second while others waited.
    pub rate: f64,
    started: u32,
    since: Now,
    last: Now,
    waited: bool,
}

impl Meter {
    /// A request started; whether others still wait. Time without any start is not counted: a line
    /// that was idle would look slow, and a burst after it would be refused as overload.
    pub fn start(&mut self, now: Now, waiting: bool) {
        let idle = now.saturating_sub(self.last) >= WINDOW;
        self.last = now;
        if self.started == 0 || idle {
            self.since = now;
            self.started = 0;
            self.waited = false;
        }
        self.started += 1;
        self.waited |= waiting;
        self.roll(now);
    }

    fn roll(&mut self, now: Now) {
        let time = now.saturating_sub(self.since);
        if time < WINDOW {
            return;
        }
        let rate = f64::from(self.started) / time.as_secs_f64();
        if self.waited {
            blend(&mut self.rate, rate, GAIN * 5.0);
        } else if self.rate > 0.0 {
            // Nobody waited, so more could have been started: it can only raise a known rate.
            self.rate = self.rate.max(rate);
        }
        self.started = 0;
        self.waited = false;
    }

    /// A first token came after `took`.
    pub fn first(&mut self, took: Duration) {
        blend(&mut self.first, took.as_secs_f64(), GAIN);
    }

    /// A request made `made` of at most `most` tokens after the first one in `took`.
    pub fn end(&mut self, made: u32, most: u32, took: Duration) {
        let part = f64::from(made) / f64::from(most.max(1));
        blend(&mut self.part, part.min(1.0), GAIN);
        if made > 1 {
            blend(
                &mut self.gap,
                took.as_secs_f64() / f64::from(made - 1),
                GAIN,
            );
        }
    }

    /// Expected time of a request that may make `most` tokens.
    pub fn service(&self, most: u32) -> Duration {
        let tokens = f64::from(most) * self.part;
        Duration::from_secs_f64(self.first + tokens * self.gap)
    }

    /// Expected wait behind `ahead` requests.
    pub fn wait(&self, ahead: f64) -> Duration {
        let wait = if self.rate > 0.0 {
            ahead / self.rate
        } else {
            0.0
        };
        Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX)
    }
}

fn blend(average: &mut f64, value: f64, gain: f64) {
    *average = if *average == 0.0 {
        value
    } else {
        *average + gain * (value - *average)
    };
}
