//! What happens to a router.

use crate::Attempt;
use crate::failure::Failure;
use crate::load::Report;
use crate::request::{Id, Request};
use crate::view::View;
use bundle::id::EndpointId;
use std::sync::Arc;

/// An event.
#[derive(Clone, Debug)]
pub enum Event {
    /// Control published a new view. The first one comes before anything else.
    View(Arc<View>),
    /// A request arrived.
    Arrive(Request),
    /// A hop of an attempt did its part of the current step.
    Progress(Id, Attempt, u8),
    /// An attempt made one more token.
    Token(Id, Attempt),
    /// An attempt made its last token, or a plain service's answer is whole.
    Finished(Id, Attempt),
    /// An attempt failed.
    Failed(Id, Attempt, Failure),
    /// The caller went away.
    Left(Id),
    /// A probe on a new connection ended; whether the endpoint answered.
    Probed(EndpointId, bool),
    /// An endpoint reported its load.
    Load(EndpointId, Report),
    /// Time passed; comes at least every [`crate::event::TICK`].
    Tick,
}

/// Longest time between two ticks.
pub const TICK: std::time::Duration = std::time::Duration::from_millis(20);
