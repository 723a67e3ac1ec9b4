//! How an attempt failed.

use bundle::id::EndpointId;
use std::time::Duration;

/// What went wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Cause {
    /// No connection could be made.
    Connect,
    /// The endpoint refused before running anything: it is full.
    Busy,
    /// The endpoint refused before running anything: it is leaving.
    Leaving,
    /// The endpoint refused before running anything: it does not serve this.
    Unfit,
    /// The connection broke.
    Reset,
    /// The connection is open and nothing comes.
    Silent,
    /// What came broke the protocol: wrong request, attempt, step or layers.
    Protocol,
    /// The endpoint answered that it could not compute.
    Internal,
}

/// A failed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// The endpoint that failed.
    pub endpoint: EndpointId,
    /// What went wrong.
    pub cause: Cause,
    /// Whether a byte that could start the work left for any endpoint, in this attempt.
    pub sent: bool,
    /// When the endpoint asked to be tried again.
    pub retry_after: Option<Duration>,
}
