//! Orders and what comes of them.

use catalog::endpoint::{Run, Span};
use std::net::SocketAddr;

/// An order to hold some layers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The endpoint.
    pub run: Run,
    /// Where it listens.
    pub addr: SocketAddr,
    /// The layers that it held when the order was planned.
    pub held: Span,
    /// The layers that it is to hold.
    pub span: Span,
}

/// What came of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint has begun, or holds the layers already.
    Taken,
    /// The endpoint's state is another than the order expected.
    Refused,
    /// No answer: it may be carried out, also later.
    Unknown,
}
