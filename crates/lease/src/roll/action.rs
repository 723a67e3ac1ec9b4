//! Actions that a roll returns for the node to execute.

use crate::Now;
use crate::roll::order::Order;
use crate::roll::phase::Phase;
use bundle::id::{EndpointId, Number};

/// Cause of a new replica's failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The replica was not ready in time.
    Late,
    /// The endpoint went down during the load.
    Died,
    /// The endpoint went down soon after the replica was ready.
    Unstable,
    /// The endpoint refused the order.
    Refused,
}

/// Failure of a new replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Cause of the failure.
    pub cause: Cause,
    /// Time at which the failure was detected.
    pub at: Now,
}

/// An action of a roll.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the endpoint an order, with the fencing number that
    /// [`permit`](crate::group_lease::Table::permit) returns right before the sending.
    Order(EndpointId, Order),
    /// Stop the roll of this bundle, and record this in the lease for later holders.
    Stop(Number, Vec<Failure>),
    /// Log the new phase of the roll.
    Phase(Phase),
}
