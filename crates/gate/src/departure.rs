//! Admission of requests while the node leaves.
//!
//! A node that was told to stop is killed at the end of its grace time, and gives up what is in flight
//! shortly before: requests without a response get one that says what is known of them, and streams are
//! cut. Callers that cached its address still send requests to it. Such a request is accepted in two cases:
//!
//! - Its deadline is before the abort, so that it ends by then in any case.
//! - It may be repeated, arrives within the time for which callers cache addresses, and its response is
//!   expected to end before the abort. The platform accepts that a response to such a request is cut at the
//!   end of the grace time if it takes longer.
//!
//! A request that another node relays is only accepted in the first case: its caller does not know
//! that this node leaves, and the other node can relay it elsewhere at once.
//!
//! The times are checked when a request is admitted, so a late timer does not extend them.

use crate::discovery;
use std::time::Duration;
use tokio::time::Instant;

/// How much later a signal may be handled than it was sent. The platform counts from the latter.
const MAX_SIGNAL_DELAY: Duration = Duration::from_millis(250);
/// Fraction of the grace time after which requests in flight are aborted. It lies in the last sixth,
/// in which the platform accepts that responses are cut, and leaves time to end before the kill.
const ABORT_FRACTION: f64 = 0.94;
/// Fraction of the grace time by which the last responses after the abort were written.
const END_FRACTION: f64 = 0.97;
/// Time before the abort within which the last response is written.
const WRITE_TIME: Duration = Duration::from_millis(50);

/// What is known of a request that is to be admitted.
#[derive(Clone, Copy, Debug)]
pub struct Claim {
    /// Deadline of the request.
    pub deadline: Instant,
    /// Time that its response is expected to take; `None` if it is not known yet.
    pub expected: Option<Duration>,
    /// Whether another node relays it.
    pub relayed: bool,
    /// Whether it may be repeated if its response is cut.
    pub repeatable: bool,
}

/// Times of a node that leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// Until when requests are accepted whose deadline is after the abort.
    accept_until: Instant,
    /// When requests in flight are aborted.
    abort_at: Instant,
    /// When the process ends at the latest.
    end_at: Instant,
}

impl Schedule {
    /// Creates the schedule of a node that handled the signal to stop at `signalled_at` and is killed
    /// `grace` after the signal.
    pub fn new(signalled_at: Instant, grace: Duration) -> Self {
        let abort_at = signalled_at + grace.mul_f64(ABORT_FRACTION);
        let window = discovery::MAX_ADDRESS_AGE.saturating_sub(MAX_SIGNAL_DELAY);
        Self {
            accept_until: (signalled_at + window).min(abort_at),
            abort_at,
            end_at: signalled_at + grace.mul_f64(END_FRACTION),
        }
    }

    /// Returns the time until which requests are accepted whose deadline is after the abort.
    pub fn accept_until(&self) -> Instant {
        self.accept_until
    }

    /// Returns the time at which requests in flight are aborted.
    pub fn abort_at(&self) -> Instant {
        self.abort_at
    }

    /// Returns the time by which the last responses were written.
    pub fn end_at(&self) -> Instant {
        self.end_at
    }

    /// Returns whether a request is accepted at `now`.
    pub fn accepts(&self, now: Instant, claim: &Claim) -> bool {
        let end = now + claim.expected.unwrap_or_default() + WRITE_TIME;
        let ends_in_time = claim.deadline + WRITE_TIME <= self.abort_at;
        let may_be_cut = now <= self.accept_until && end <= self.abort_at;
        ends_in_time || (may_be_cut && claim.repeatable && !claim.relayed)
    }
}
