//! Actions that a router requests from its caller, the entry.

use crate::Attempt;
use crate::outcome::Outcome;
use crate::refusal::Refusal;
use crate::request::Id;
use bundle::id::{EndpointId, Layer};

/// One stage of a chain: an endpoint and the layers it runs; `from == to == 0` for a plain service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hop {
    /// Endpoint that runs the stage.
    pub endpoint: EndpointId,
    /// First layer that the endpoint runs.
    pub from: Layer,
    /// One past the last layer it runs.
    pub to: Layer,
}

/// Observation that the control part of the node publishes to the other nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Observation {
    /// The endpoint was ejected after failures and stays out of use until a probe is answered.
    Ejected(EndpointId),
    /// The endpoint is back in use after an ejection.
    Restored(EndpointId),
    /// A request with this fingerprint was in flight on an endpoint that died.
    Suspect(u64),
    /// A request with this fingerprint ran alone on an endpoint that died. All nodes hold it back
    /// until the verdict, [`crate::crash::CORRELATION_WINDOW`] later.
    Pending(u64),
    /// Requests with this fingerprint crash endpoints; all nodes refuse them.
    Condemned(u64),
}

/// Action to be carried out by the entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Starts an attempt on this chain; it resumes from the prompt and the tokens generated so far.
    Start(Id, Attempt, Vec<Hop>),
    /// Stops an attempt: cancels it on its endpoints and drops frames that still arrive from it.
    Cancel(Id, Attempt),
    /// Refuses a request. No endpoint has run any part of it.
    Refuse(Id, Refusal),
    /// Ends the answer to the caller.
    Finish(Id, Outcome),
    /// Checks on a new connection whether an endpoint is alive.
    Probe(EndpointId),
    /// Drops the pooled connections to an endpoint, since they became unresponsive.
    Disconnect(EndpointId),
    /// Publishes an observation to the other nodes.
    Observe(Observation),
}
