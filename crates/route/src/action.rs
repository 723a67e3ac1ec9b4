//! What a router asks its entry to do.

use crate::Attempt;
use crate::outcome::Outcome;
use crate::refusal::Refusal;
use crate::request::Id;
use bundle::id::{EndpointId, Layer};

/// One endpoint's part of a pipeline; `from == to == 0` for a plain service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hop {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// First layer it runs.
    pub from: Layer,
    /// One past the last layer it runs.
    pub to: Layer,
}

/// Something that control tells the other nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Observation {
    /// Endpoint taken out of use after failures, until probed alive again.
    Ejected(EndpointId),
    /// Endpoint back in use.
    Restored(EndpointId),
    /// A request with this fingerprint was in flight when an endpoint died.
    Suspect(u64),
    /// A request with this fingerprint was alone on an endpoint that died: it is held back
    /// everywhere until the verdict, [`crate::crash::CORRELATION_WINDOW`] later.
    Pending(u64),
    /// Requests with this fingerprint crash endpoints and are refused everywhere.
    Condemned(u64),
}

/// An action.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Run an attempt on this chain, from the prompt and the tokens already had.
    Start(Id, Attempt, Vec<Hop>),
    /// Stop an attempt: cancel it on its endpoints and drop what still comes from it.
    Cancel(Id, Attempt),
    /// Give the caller a refusal: the request was truly not run.
    Refuse(Id, Refusal),
    /// End the caller's answer.
    Finish(Id, Outcome),
    /// Ask an endpoint, on a new connection, whether it lives.
    Probe(EndpointId),
    /// Drop pooled connections to an endpoint: they went silent.
    Disconnect(EndpointId),
    /// Tell the other nodes.
    Observe(Observation),
}
