//! Kinds of requests, by whether a request may run more than once.

use std::time::Duration;

/// Execution semantics of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A request may run more than once.
    Idempotent,
    /// Each request of a caller runs at most once.
    AtMostOnce,
    /// The response is a stream of events.
    Stream(Stream),
}

/// Properties of a response that is a stream of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stream {
    /// Whether another endpoint may resume the stream after the last event that the caller has.
    pub resumable: bool,
    /// Longest pause between two events with which the response still counts as on time.
    pub pause: Option<Duration>,
}

impl Kind {
    /// Returns whether a request that may already have run may be sent again.
    pub fn repeatable(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::AtMostOnce => false,
            Self::Stream(stream) => stream.resumable,
        }
    }

    /// Returns the properties of the stream, if the response is one.
    pub fn stream(self) -> Option<Stream> {
        match self {
            Self::Stream(stream) => Some(stream),
            _ => None,
        }
    }
}
