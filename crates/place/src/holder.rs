//! The endpoints of one model service as a plan sees them.

use crate::order::Order;
use catalog::endpoint::{Endpoint, Run, Span};
use std::net::SocketAddr;

/// An endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Holder {
    /// Its run.
    pub run: Run,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Kind of its accelerator.
    pub kind: String,
    /// Layers that it holds, or will hold once an order under way is done.
    pub span: Span,
    /// Whether `span` is still to be loaded: nothing may rely on it yet.
    pub loading: bool,
    /// Whether nothing is known of an order that was given; it gets no other until then.
    pub busy: bool,
}

impl Holder {
    /// The holder that an endpoint is; nothing for one without an accelerator.
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

    /// The order to hold `span`.
    pub fn order(&self, span: Span) -> Order {
        Order {
            run: self.run.clone(),
            addr: self.addr,
            held: self.span,
            span,
        }
    }
}
