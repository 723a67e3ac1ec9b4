//! Refusals: the request was truly not run.

use std::time::Duration;

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The team is over its rate or its requests in flight.
    Limit,
    /// The queue is full or the deadline can't be met.
    Overload,
    /// The deadline passed while it waited.
    Deadline,
    /// No pipeline covers the model, or nothing serves the service.
    NoEndpoint,
    /// Requests like this one crash endpoints.
    Condemned,
    /// The node leaves.
    Leaving,
}

/// A refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When to come back, if that can help.
    pub retry_after: Option<Duration>,
}
