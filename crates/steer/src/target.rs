//! Targets of attempts.

use catalog::endpoint::{Run, Span};
use std::net::SocketAddr;

/// Identifier of the capacity that an attempt reserves at endpoints until it ends.
pub type ReservationId = u64;

/// Stage of a chain, or the only endpoint of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stage {
    /// Run of the endpoint.
    pub run: Run,
    /// Address that the endpoint listens on.
    pub addr: SocketAddr,
    /// Layers that the stage runs; empty for a plain service.
    pub span: Span,
}

/// Target of an attempt; the request is sent to the first stage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Reservation that is released when the attempt ends.
    pub reservation: ReservationId,
    /// Stages in the order of their layers; at least one.
    pub stages: Vec<Stage>,
}

impl Target {
    /// Returns the stage that the request is sent to.
    pub fn head(&self) -> &Stage {
        &self.stages[0]
    }

    /// Returns whether the first stage runs all layers.
    pub fn is_single(&self) -> bool {
        self.stages.len() == 1
    }
}
