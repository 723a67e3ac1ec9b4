//! Whether an endpoint is used, by how its attempts ended.
//!
//! An endpoint that failed is left out for a time that doubles with each further failure, and is
//! then tried again by ordinary requests. Without the doubling a dead endpoint would cost each
//! worker an attempt every time; without the bound one that came back would stay unused.

use crate::Now;
use std::time::Duration;

/// Time out of use after the first failure: longer than a report of load is old (200 ms), so that
/// what is known of it is new by then.
const FIRST: Duration = Duration::from_millis(300);
/// Longest time out of use: about what an endpoint takes to come back after a crash.
const LONGEST: Duration = Duration::from_secs(4);
/// Time that an endpoint which was full is passed over: a few of its answers.
const FULL: Duration = Duration::from_millis(120);

/// How an attempt ended, as far as one endpoint is to blame or to thank for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It answered, or a part of the answer came through it.
    Good,
    /// It said that it is full.
    Full,
    /// The head of a chain named it: it is dead, about to leave, or short of memory, and the head
    /// can't tell which.
    Named,
    /// It is not what was expected at its address, or does not hold its layers.
    Elsewhere,
    /// No connection, a broken one, bytes that are no answer, or silence.
    Failed,
    /// Nothing is known: the caller left, or another endpoint is to blame.
    Unknown,
}

/// The state of one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    /// Failures since it last did well.
    failures: u32,
    /// Until when it is not used.
    out: Option<Now>,
}

impl Health {
    /// Whether requests may be sent to it.
    pub fn usable(&self, now: Now) -> bool {
        self.out.is_none_or(|until| now >= until)
    }

    /// Failures since it last did well.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Takes in how an attempt that began at `began` ended. One that began before the endpoint
    /// was taken out tells nothing new, so that many broken off at once count as one failure.
    pub fn ended(&mut self, now: Now, began: Now, outcome: Outcome) {
        match outcome {
            Outcome::Good => *self = Self::default(),
            Outcome::Full => self.leave(now, FULL),
            Outcome::Failed | Outcome::Named | Outcome::Elsewhere => {
                if self.out.is_some_and(|until| began < until) {
                    return;
                }
                let time = FIRST.saturating_mul(1 << self.failures.min(8));
                self.failures = self.failures.saturating_add(1);
                self.leave(now, time.min(LONGEST));
            }
            Outcome::Unknown => {}
        }
    }

    fn leave(&mut self, now: Now, time: Duration) {
        let until = now.saturating_add(time);
        self.out = Some(self.out.map_or(until, |out| out.max(until)));
    }
}
