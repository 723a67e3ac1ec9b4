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

/// An endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Name, unique in the bundle.
    pub name: String,
    /// Name of its instance, as the instance list gives it.
    pub instance: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its accelerator's kind; `None` for one that only hosts plain services.
    pub kind: Option<KindId>,
    /// What it may serve of models.
    pub spans: Vec<Span>,
    /// Plain services it may serve.
    pub services: Vec<ServiceId>,
    /// Requests it runs at once.
    pub slots: u32,
    /// Whether it refuses orders that carry an old fencing number.
    pub fenced: bool,
}
