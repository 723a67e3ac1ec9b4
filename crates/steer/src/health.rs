//! Outlier ejection: decides from the outcomes of its attempts whether an endpoint is used.
//!
//! A failing endpoint is ejected for a time that doubles with each further failure, and is then
//! tried again by ordinary requests. Without the doubling, a dead endpoint would cost each worker
//! an attempt every time; without an upper bound, a recovered endpoint would stay unused.

use crate::Timestamp;
use std::time::Duration;

/// Ejection time after the first failure. It exceeds the age of load reports (200 ms), so that a
/// newer report is known when it ends.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(300);
/// Maximum ejection time: about the time that an endpoint takes to restart after a crash.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(4);
/// Time for which an endpoint that was full is passed over; several of its answers end in this
/// time.
const FULL_BACKOFF: Duration = Duration::from_millis(120);

/// Outcome of an attempt with regard to one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint answered, or a part of the answer passed through it.
    Success,
    /// The endpoint reported that it is full.
    Full,
    /// The head of the chain reported the endpoint as missing: it is dead, about to leave, or short
    /// of memory, and the head cannot tell which.
    Missing,
    /// Another run or process answers at the address of the endpoint, or the endpoint does not hold
    /// the expected layers.
    Misdirected,
    /// No connection, a broken connection, an invalid answer, or no answer in time.
    Failed,
    /// Nothing is known about the endpoint: the caller left, or another endpoint is at fault.
    Unknown,
}

/// Health of one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    /// Failures since the last success.
    failures: u32,
    /// When the first of these failures was recorded.
    failing_since: Option<Timestamp>,
    /// End of the ejection.
    ejected_until: Option<Timestamp>,
}

impl Health {
    /// Returns whether requests may be sent to the endpoint.
    pub fn is_usable(&self, now: Timestamp) -> bool {
        self.ejected_until.is_none_or(|until| now >= until)
    }

    /// Returns the end of the ejection, if any.
    pub fn ejected_until(&self) -> Option<Timestamp> {
        self.ejected_until
    }

    /// Returns the number of failures since the last success.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns when the first failure since the last success was recorded.
    pub fn failing_since(&self) -> Option<Timestamp> {
        self.failing_since
    }

    /// Records the outcome of an attempt that began at `began`. A failed attempt that began before
    /// the end of the latest ejection does not count, so that many attempts that break off
    /// together count as one failure.
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
                self.failing_since.get_or_insert(now);
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
