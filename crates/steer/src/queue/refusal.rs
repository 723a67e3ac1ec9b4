//! Refusals of waiting requests.

use super::estimate;
use std::time::Duration;

/// Why a waiting request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Too many requests wait, and it is the last one.
    Full,
    /// It is not expected to get a slot within its wait.
    TooLate,
    /// Like [`Self::TooLate`], since requests that arrived later go before it.
    Overtaken,
    /// Its wait is over.
    Expired,
    /// The service was removed.
    Removed,
}

impl Cause {
    /// Returns the label for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::TooLate => "too_late",
            Self::Overtaken => "overtaken",
            Self::Expired => "expired",
            Self::Removed => "removed",
        }
    }
}

/// Refusal of a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Why it is refused.
    pub cause: Cause,
    /// Number of requests before it.
    pub ahead: usize,
    /// Time until it was expected to get a slot; `None` if the rate of slots is unknown.
    pub estimate: Option<Duration>,
    /// How long it waited.
    pub waited: Duration,
}

impl Refused {
    /// Returns the time after which a retry can succeed, before it is spread.
    pub fn retry_after(&self) -> Duration {
        estimate::retry_after(self.estimate)
    }
}
