//! Orders to endpoints, and their outcomes.

use catalog::endpoint::{Run, Span};
use std::net::SocketAddr;

/// An order to an endpoint to hold a span of layers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Run of the endpoint that the order is for.
    pub run: Run,
    /// Address that the endpoint listens on.
    pub addr: SocketAddr,
    /// Layers that the endpoint held when the order was planned.
    pub held: Span,
    /// Layers that the endpoint is to hold.
    pub span: Span,
}

/// Outcome of sending an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint accepted the order, or already holds the layers.
    Taken,
    /// The endpoint refused the order, or its state differs from what the order expected.
    Refused,
    /// No response was received; the endpoint may still carry out the order, even later.
    Unknown,
}
