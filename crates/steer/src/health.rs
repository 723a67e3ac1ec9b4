//! Whether an endpoint is used, by how its attempts ended.
//!
//! An endpoint that failed is left out for a time that doubles with each further failure, and is
//! then tried again by ordinary requests. Without the doubling a dead endpoint would cost each
//! worker an attempt every time; without the bound one that came back would stay unused.

use crate::Timestamp;
use std::time::Duration;

/// Time out of use after the first failure: longer than a report of load is old (200 ms), so that
/// what is known of it is new by then.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(300);
/// Longest time out of use: about what an endpoint takes to come back after a crash.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(4);
/// Time that an endpoint which was full is passed over: a few of its answers.
const FULL_BACKOFF: Duration = Duration::from_millis(120);

/// How an attempt ended, as far as one endpoint is to blame or to thank for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It answered, or a part of the answer came through it.
    Success,
    /// It said that it is full.
    Full,
    /// The head of a chain named it: it is dead, about to leave, or short of memory, and the head
    /// can't tell which.
    Missing,
    /// It is not what was expected at its address, or does not hold its layers.
    Misdirected,
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
    ejected_until: Option<Timestamp>,
}

impl Health {
    /// Whether requests may be sent to it.
    pub fn is_usable(&self, now: Timestamp) -> bool {
        self.ejected_until.is_none_or(|until| now >= until)
    }

    /// Failures since it last did well.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Takes in how an attempt that began at `began` ended. One that began before the endpoint
    /// was taken out tells nothing new, so that many broken off at once count as one failure.
    pub fn record(&mut self, now: Timestamp, began: Timestamp, outcome: Outcome) {
        match outcome {
            Outcome::Success => *self = Self::default(),
            Outcome::Full => self.eject(now, FULL_BACKOFF),
            Outcome::Failed | Outcome::Missing | Outcome::Misdirected => {
                if self.ejected_until.is_some_and(|until| began < until) {
                    return;
                }
                let time = BASE_EJECTION_TIME.saturating_mul(1 << self.failures.min(8));
                self.failures = self.failures.saturating_add(1);
                self.eject(now, time.min(MAX_EJECTION_TIME));
            }
            Outcome::Unknown => {}
        }
    }

    fn eject(&mut self, now: Timestamp, time: Duration) {
        let until = now.saturating_add(time);
        self.ejected_until = Some(
            self.ejected_until
                .map_or(until, |current| current.max(until)),
        );
    }
}
