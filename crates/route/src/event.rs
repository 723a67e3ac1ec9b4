//! Events that a router handles.

use crate::Attempt;
use crate::failure::Failure;
use crate::load::Report;
use crate::request::{Id, Request};
use crate::view::View;
use bundle::id::EndpointId;
use std::sync::Arc;

/// Input of a router.
#[derive(Clone, Debug)]
pub enum Event {
    /// Control published a new view. The first view precedes all other events.
    View(Arc<View>),
    /// A request arrived.
    Arrive(Request),
    /// A hop of an attempt completed its part of the current step.
    Progress(Id, Attempt, u8),
    /// The answer of a plain service began and is forwarded to the caller, so that no other attempt
    /// can answer the request.
    Committed(Id, Attempt),
    /// An attempt generated one more token.
    Token(Id, Attempt),
    /// An attempt generated its last token, or the answer of a plain service is complete.
    Finished(Id, Attempt),
    /// An attempt failed.
    Failed(Id, Attempt, Failure),
    /// The caller disconnected.
    Left(Id),
    /// A probe on a new connection ended; the flag tells whether the endpoint answered.
    Probed(EndpointId, bool),
    /// An endpoint reported its load.
    Load(EndpointId, Report),
    /// Time passed. Sent at least every [`crate::event::TICK`].
    Tick,
}

/// Maximum time between two ticks.
pub const TICK: std::time::Duration = std::time::Duration::from_millis(20);
