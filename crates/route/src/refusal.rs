//! Refusals: the request was not run, not even in part.

use std::time::Duration;

/// Reason of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The team exceeds its rate or its number of requests in flight.
    Limit,
    /// The queue is full or the deadline can't be met.
    Overload,
    /// The deadline passed while the request waited.
    Deadline,
    /// No chain covers the model, or no endpoint serves the service.
    NoEndpoint,
    /// Requests with this fingerprint crash endpoints.
    Condemned,
    /// The node is leaving.
    Leaving,
    /// The request can't be sent to any endpoint.
    Invalid,
}

/// Refusal of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: Reason,
    /// Delay after which the caller may retry; `None` if a retry can't help.
    pub retry_after: Option<Duration>,
}
