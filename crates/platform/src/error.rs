//! Errors of the platform's clients.

use std::fmt;
use std::time::Duration;

/// Result of a call to the platform.
pub type Result<T> = std::result::Result<T, Error>;

/// What went wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// No connection could be made.
    Connect,
    /// The time limit passed.
    Timeout,
    /// The connection broke, or what came was no HTTP.
    Broken,
    /// The service is over its rate and says when to come back, if it does.
    RateLimited(Option<Duration>),
    /// The service answered with another status than success.
    Status(u16),
    /// A body over its bound, in bytes.
    TooLarge(usize),
    /// The answer can't be decoded; the text says where.
    Decode(String),
    /// The request can't be built, such as for a stream name that no path can hold.
    Invalid(String),
}

/// An error of a call to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// What went wrong.
    pub cause: Cause,
    /// Whether a byte of the request may have reached the service.
    pub sent: bool,
}

impl Error {
    /// An error before anything was sent.
    pub fn unsent(cause: Cause) -> Self {
        Self { cause, sent: false }
    }

    /// An error after something may have been sent.
    pub fn sent(cause: Cause) -> Self {
        Self { cause, sent: true }
    }

    /// Whether an append may have taken effect: it was sent and no answer settles it.
    ///
    /// A refusal (429, any other 4xx, 503) is the service's word that nothing was appended. Any
    /// other end after sending leaves it open, and only reading the stream back settles it.
    pub fn unsure(&self) -> bool {
        self.sent && !self.is_refused()
    }

    /// When the service asked to be called again.
    pub fn retry_after(&self) -> Option<Duration> {
        match self.cause {
            Cause::RateLimited(after) => after,
            _ => None,
        }
    }

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
            Self::Connect => f.write_str("no connection"),
            Self::Timeout => f.write_str("time limit passed"),
            Self::Broken => f.write_str("connection broke"),
            Self::RateLimited(_) => f.write_str("over the service's rate"),
            Self::Status(code) => write!(f, "status {code}"),
            Self::TooLarge(bytes) => write!(f, "body over {bytes} bytes"),
            Self::Decode(text) => write!(f, "undecodable answer: {text}"),
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
