//! Failures of attempts.

use bundle::id::EndpointId;
use std::time::Duration;

/// Cause of a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Cause {
    /// The connection could not be established.
    Connect,
    /// The endpoint refused before running anything because it is at capacity.
    Busy,
    /// The endpoint refused before running anything because it is leaving.
    Leaving,
    /// The endpoint refused before running anything because it does not serve the model or service.
    Unfit,
    /// The request can't be sent to any endpoint, because it doesn't fit into the protocol.
    Invalid,
    /// The connection was reset or closed.
    Reset,
    /// The connection is open but delivers nothing.
    Silent,
    /// The endpoint violated the protocol: frames for the wrong request, attempt, step or layers.
    Protocol,
    /// The endpoint reported that it could not compute.
    Internal,
}

/// Report of a failed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Endpoint that failed.
    pub endpoint: EndpointId,
    /// Cause of the failure.
    pub cause: Cause,
    /// Whether a byte that could start the work was sent to any endpoint in this attempt.
    pub sent: bool,
    /// Delay after which the endpoint asked to be tried again.
    pub retry_after: Option<Duration>,
}
