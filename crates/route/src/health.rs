//! Health of one endpoint: up, probed, ejected, or on trial after an ejection (outlier ejection).
//!
//! A single failure never ejects an endpoint; it triggers a probe on a new connection, since an
//! open connection can stall or break while the endpoint is healthy. An endpoint is ejected only if
//! a probe stays unanswered, or after consecutive failures that a probe can't explain.

use crate::Now;
use std::time::Duration;

/// Consecutive failures after which an endpoint is ejected although it answers probes.
pub const EJECTION_THRESHOLD: u32 = 4;
/// Age of the latest failure above which the count of consecutive failures restarts at zero.
const FAILURE_MEMORY: Duration = Duration::from_secs(10);

/// Health state of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum State {
    /// In use; accepts new work.
    #[default]
    Up,
    /// Probed on a new connection since this time; gets no new work until it answers.
    Probing(Now),
    /// Ejected until this time, then probed.
    Ejected(Now),
    /// On trial: answered a probe after an ejection; the value counts its successful attempts since
    /// then.
    Trial(u32),
}

/// Health of one endpoint and its count of failures.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Health {
    /// Current state.
    pub state: State,
    /// Consecutive ejections; the duration of an ejection doubles with each.
    pub ejections: u32,
    /// Whether the probe in flight decides on the return from an ejection.
    pub returning: bool,
    failures: u32,
    last_failure: Now,
}

impl Health {
    /// Returns whether new work may be sent.
    pub fn accepts_work(&self) -> bool {
        matches!(self.state, State::Up | State::Trial(_))
    }

    /// Returns whether the endpoint is ejected or is probed for its return.
    pub fn is_ejected(&self) -> bool {
        matches!(self.state, State::Ejected(_)) || self.returning
    }

    /// Returns the maximum number of concurrent requests while on trial, `None` otherwise.
    pub fn trial_limit(&self) -> Option<u32> {
        match self.state {
            State::Trial(good) => Some(1 + good),
            _ => None,
        }
    }

    /// Moves a usable endpoint to [`State::Probing`] after a failure; returns whether a probe is to
    /// be sent.
    pub fn begin_probe(&mut self, now: Now) -> bool {
        let ask = self.accepts_work();
        if ask {
            self.state = State::Probing(now);
        }
        ask
    }

    /// Counts a failure that a probe can't explain; returns whether [`EJECTION_THRESHOLD`] is
    /// reached.
    pub fn record_failure(&mut self, now: Now) -> bool {
        if self.last_failure + FAILURE_MEMORY < now {
            self.failures = 0;
        }
        self.last_failure = now;
        self.failures += 1;
        self.failures >= EJECTION_THRESHOLD
    }

    /// Ejects the endpoint for `first`, doubled with each consecutive ejection up to `most`.
    /// `jitter` in 0..1 spreads the returns of endpoints that were ejected together.
    pub fn eject(&mut self, now: Now, min: Duration, max: Duration, jitter: f64) {
        let factor = 2_u32.saturating_pow(self.ejections.min(16));
        let time = min.saturating_mul(factor).min(max);
        self.ejections += 1;
        self.returning = false;
        self.failures = 0;
        self.state = State::Ejected(now + time.mul_f64(1.0 + jitter / 2.0));
    }

    /// Moves an endpoint whose ejection has expired to [`State::Probing`]; returns whether a probe
    /// is to be sent.
    pub fn begin_return_probe(&mut self, now: Now) -> bool {
        let due = matches!(self.state, State::Ejected(until) if until <= now);
        if due {
            self.state = State::Probing(now);
            self.returning = true;
        }
        due
    }

    /// Records an answered probe: back in use, or on trial if the endpoint was ejected.
    pub fn record_answer(&mut self) {
        self.state = if self.returning || self.ejections > 0 {
            State::Trial(0)
        } else {
            State::Up
        };
        self.returning = false;
    }

    /// Records a successful attempt; returns whether it completed the trial and restored the
    /// endpoint.
    pub fn record_success(&mut self, trials: u32) -> bool {
        self.failures = 0;
        let State::Trial(good) = self.state else {
            return false;
        };
        if good + 1 < trials {
            self.state = State::Trial(good + 1);
            return false;
        }
        self.state = State::Up;
        self.ejections = 0;
        true
    }
}
