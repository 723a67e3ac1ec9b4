//! Endpoints of one model service as inputs to a placement plan.

use crate::order::Order;
use catalog::endpoint::{Endpoint, Run, Span};
use std::net::SocketAddr;

/// An endpoint that holds, or can hold, layers of a model.
#[derive(Clone, Debug, PartialEq)]
pub struct Holder {
    /// Run of the endpoint.
    pub run: Run,
    /// Address that the endpoint listens on.
    pub addr: SocketAddr,
    /// Availability zone of the endpoint.
    pub zone: String,
    /// Name of its kind of accelerator.
    pub kind: String,
    /// Layers that the endpoint holds, or will hold once the order in flight has been carried out.
    pub span: Span,
    /// Whether `span` has yet to be loaded; until then, no other endpoint may release these layers.
    pub loading: bool,
    /// Whether the outcome of the last order is unsettled. The endpoint gets no other order until
    /// then.
    pub busy: bool,
}

impl Holder {
    /// Creates a holder from an endpoint; returns `None` if the endpoint has no accelerator.
    pub fn from_endpoint(endpoint: &Endpoint) -> Option<Self> {
        Some(Self {
            run: endpoint.run.clone(),
            addr: endpoint.addr,
            zone: endpoint.zone.clone(),
            kind: endpoint.accelerator.clone()?,
            span: endpoint.span,
            loading: false,
            busy: false,
        })
    }

    /// Creates the order for this endpoint to hold `span`.
    pub fn order(&self, span: Span) -> Order {
        Order {
            run: self.run.clone(),
            addr: self.addr,
            held: self.span,
            span,
        }
    }
}
