//! Where an attempt goes.

use catalog::endpoint::{Run, Span};
use std::net::SocketAddr;

/// A number that names what an attempt holds at endpoints until it ends.
pub type ReservationId = u64;

/// One stage of a chain, or the one endpoint of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stage {
    /// The endpoint.
    pub run: Run,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Layers that it runs; empty for a plain service.
    pub span: Span,
}

/// Where an attempt goes; the request is sent to the first stage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// What it holds, to be given back at the attempt's end.
    pub reservation: ReservationId,
    /// The stages in the order of their layers; at least one.
    pub stages: Vec<Stage>,
}

impl Target {
    /// The stage that the request is sent to.
    pub fn head(&self) -> &Stage {
        &self.stages[0]
    }

    /// Whether the first stage runs all layers by itself.
    pub fn is_single(&self) -> bool {
        self.stages.len() == 1
    }
}
