//! Endpoints: model engines and plain services that nodes send work to.

use crate::id::{KindId, Layer, ModelId, ServiceId, ZoneId};
use std::net::SocketAddr;

/// A contiguous range of a model's layers that an endpoint may serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    /// The model.
    pub model: ModelId,
    /// First layer.
    pub from: Layer,
    /// One past the last layer.
    pub to: Layer,
}

/// An endpoint of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Name, unique in the bundle.
    pub name: String,
    /// Name of its instance in the instance list.
    pub instance: String,
    /// Address on which the endpoint listens.
    pub addr: SocketAddr,
    /// Availability zone of the endpoint.
    pub zone: ZoneId,
    /// Kind of its accelerator; `None` for an endpoint that only hosts plain services.
    pub kind: Option<KindId>,
    /// Spans of model layers that it may serve.
    pub spans: Vec<Span>,
    /// Plain services it may serve.
    pub services: Vec<ServiceId>,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether the endpoint refuses orders that carry a stale fencing token.
    pub fenced: bool,
}
