//! What control knows, as an immutable snapshot for the request workers.

use bundle::Bundle;
use bundle::id::{EndpointId, ZoneId};
use std::sync::Arc;

/// This worker's share of a team's limits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Requests started per second.
    pub rate: f64,
    /// Requests in flight.
    pub in_flight: f64,
}

/// A view of the fleet.
#[derive(Clone, Debug)]
pub struct View {
    /// The bundle in force.
    pub bundle: Arc<Bundle>,
    /// The node's own availability zone.
    pub zone: ZoneId,
    /// By endpoint: whether it gets new work (live in the list, not leaving, ready).
    pub available: Vec<bool>,
    /// Endpoints that other nodes have ejected.
    pub ejected: Vec<EndpointId>,
    /// Fingerprints that other nodes saw in flight at an endpoint's death.
    pub suspects: Vec<u64>,
    /// Fingerprints on which another node awaits a verdict.
    pub pending: Vec<u64>,
    /// Fingerprints of requests that crash endpoints.
    pub condemned: Vec<u64>,
    /// By team: this worker's share of the limits.
    pub shares: Vec<Share>,
    /// Retries per second that this worker may spend of the fleet's budget.
    pub retry_rate: f64,
    /// Whether this node takes no new work.
    pub leaving: bool,
}
