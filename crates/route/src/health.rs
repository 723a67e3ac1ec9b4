//! Health of one endpoint: up, asked whether it lives, ejected, or on trial after an ejection.
//!
//! A failure alone never ejects: it only leads to a probe on a new connection, since an open
//! connection can go silent or break while the endpoint is well. Only a probe without an answer,
//! or failures in a row that a probe can't explain, take the endpoint out.

use crate::Now;
use std::time::Duration;

/// Failures in a row, though probes are answered, after which an endpoint is ejected.
pub const EJECTION_THRESHOLD: u32 = 4;
/// Time after which earlier strikes are forgotten.
const FAILURE_MEMORY: Duration = Duration::from_secs(10);

/// State.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum State {
    /// In use.
    #[default]
    Up,
    /// Asked on a new connection since this time; no new work until it answers.
    Probing(Now),
    /// Out of use until this time, then probed.
    Ejected(Now),
    /// Answered a probe after an ejection; has this many good attempts so far.
    Trial(u32),
}

/// Health of one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Health {
    /// State.
    pub state: State,
    /// Ejections in a row.
    pub ejections: u32,
    /// Whether the probe under way is for the return from an ejection.
    pub returning: bool,
    failures: u32,
    last_failure: Now,
}

impl Health {
    /// Whether new work may be sent.
    pub fn accepts_work(&self) -> bool {
        matches!(self.state, State::Up | State::Trial(_))
    }

    /// Whether it is out of use: ejected, or probed for its return.
    pub fn is_ejected(&self) -> bool {
        matches!(self.state, State::Ejected(_)) || self.returning
    }

    /// Requests it may run at once while on trial.
    pub fn trial_limit(&self) -> Option<u32> {
        match self.state {
            State::Trial(good) => Some(1 + good),
            _ => None,
        }
    }

    /// Whether a probe should be sent because of a failure; the state then waits for it.
    pub fn begin_probe(&mut self, now: Now) -> bool {
        let ask = self.accepts_work();
        if ask {
            self.state = State::Probing(now);
        }
        ask
    }

    /// Counts a failure that a probe can't explain; whether it is the one too many.
    pub fn record_failure(&mut self, now: Now) -> bool {
        if self.last_failure + FAILURE_MEMORY < now {
            self.failures = 0;
        }
        self.last_failure = now;
        self.failures += 1;
        self.failures >= EJECTION_THRESHOLD
    }

    /// Takes it out of use; `jitter` in 0..1 spreads the returns.
    pub fn eject(&mut self, now: Now, first: Duration, most: Duration, jitter: f64) {
        let factor = 2_u32.saturating_pow(self.ejections.min(16));
        let time = first.saturating_mul(factor).min(most);
        self.ejections += 1;
        self.returning = false;
        self.failures = 0;
        self.state = State::Ejected(now + time.mul_f64(1.0 + jitter / 2.0));
    }

    /// Whether its time out of use is over; the state then waits for a probe.
    pub fn begin_return_probe(&mut self, now: Now) -> bool {
        let due = matches!(self.state, State::Ejected(until) if until <= now);
        if due {
            self.state = State::Probing(now);
            self.returning = true;
        }
        due
    }

    /// The probe was answered.
    pub fn record_answer(&mut self) {
        self.state = if self.returning || self.ejections > 0 {
            State::Trial(0)
        } else {
            State::Up
        };
        self.returning = false;
    }

    /// An attempt ended well; whether this restored the endpoint.
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
