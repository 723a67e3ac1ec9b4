//! What a roll asks its node to do.

use crate::Now;
use crate::roll::order::Order;
use crate::roll::phase::Phase;
use bundle::id::{EndpointId, Number};

/// Why a new replica counts as failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// It was not ready in time.
    Late,
    /// It went down while it loaded.
    Died,
    /// It went down soon after it was ready.
    Unstable,
    /// It refused the order.
    Refused,
}

/// A new replica that failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Why.
    pub cause: Cause,
    /// When.
    pub at: Now,
}

/// An action.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Give the endpoint an order, with the fencing number that the permit gives right before it
    /// is sent.
    Order(EndpointId, Order),
    /// Stop the roll of this bundle, and note it in the lease so that successors know.
    Stop(Number, Vec<Failure>),
    /// The phase changed; worth a log line.
    Phase(Phase),
}
