//! Errors of the clients of the platform's services.

use std::fmt;
use std::time::Duration;

/// Result of a call of a platform service.
pub type Result<T> = std::result::Result<T, Error>;

/// Cause of a failed call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// No connection could be established.
    Connect,
    /// The time limit of the call was exceeded.
    Timeout,
    /// The connection broke, or the response was not valid HTTP.
    Broken,
    /// The service refused the call because of its rate limit, with a retry-after delay if it
    /// states one.
    RateLimited(Option<Duration>),
    /// The service responded with this status, which is neither a success nor a rate limit.
    Status(u16),
    /// A request or response body exceeds this limit in bytes.
    TooLarge(usize),
    /// The response can't be decoded; the text states why.
    Decode(String),
    /// The request can't be built, for example because of an invalid stream name; the text states
    /// why.
    Invalid(String),
}

/// Error of a call of a platform service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// Cause of the failure.
    pub cause: Cause,
    /// Whether a byte of the request may have reached the service.
    pub sent: bool,
}

impl Error {
    /// Creates an error of a call of which nothing was sent.
    pub fn unsent(cause: Cause) -> Self {
        Self { cause, sent: false }
    }

    /// Creates an error of a call of which a part may have been sent.
    pub fn sent(cause: Cause) -> Self {
        Self { cause, sent: true }
    }

    /// Returns whether an append has an unknown outcome: it may have been sent, and no response
    /// shows whether it took effect.
    ///
    /// By a refusal (429, any other 4xx, 503) the service states that nothing was appended. After
    /// any other error of a sent request the outcome is unknown, and only reading the stream shows
    /// whether the record was appended.
    pub fn unsure(&self) -> bool {
        self.sent && !self.is_refused()
    }

    /// Returns the retry-after delay that the service requested.
    pub fn retry_after(&self) -> Option<Duration> {
        match self.cause {
            Cause::RateLimited(after) => after,
            _ => None,
        }
    }

    /// Returns whether the service refused the call without executing it.
    fn is_refused(&self) -> bool {
        match self.cause {
            Cause::RateLimited(_) => true,
            Cause::Status(code) => (400..500).contains(&code) || code == 503,
            _ => false,
        }
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect => f.write_str("connection could not be established"),
            Self::Timeout => f.write_str("call timed out"),
            Self::Broken => f.write_str("connection broke or response is not valid HTTP"),
            Self::RateLimited(_) => f.write_str("rate limit of the service exceeded"),
            Self::Status(code) => write!(f, "service responded with status {code}"),
            Self::TooLarge(bytes) => write!(f, "body exceeds the limit of {bytes} bytes"),
            Self::Decode(text) => write!(f, "response can't be decoded: {text}"),
            Self::Invalid(text) => write!(f, "invalid request: {text}"),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let state = if self.unsure() { "unsure" } else { "no effect" };
        write!(f, "{} ({state})", self.cause)
    }
}

impl std::error::Error for Error {}
