//! What may be repeated.

use std::time::Duration;

/// How a request of a route may be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// Runs once at most for each request of a caller.
    AtMostOnce,
    /// Answers with a series of events.
    Stream(Stream),
}

/// An answer in events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stream {
    /// Whether another endpoint may go on after the last event that the caller has.
    pub resumable: bool,
    /// Longest pause between two events for which the answer is on time.
    pub pause: Option<Duration>,
}

impl Kind {
    /// Whether a request that may have run may be sent again.
    pub fn repeatable(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::AtMostOnce => false,
            Self::Stream(stream) => stream.resumable,
        }
    }

    /// The stream, if the answer is one.
    pub fn stream(self) -> Option<Stream> {
        match self {
            Self::Stream(stream) => Some(stream),
            _ => None,
        }
    }
}
