//! Immutable snapshot of the fleet that control publishes to the request workers.

use bundle::Bundle;
use bundle::id::{EndpointId, ZoneId};
use std::sync::Arc;

/// One worker's share of a team's limits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Requests admitted per second.
    pub rate: f64,
    /// Maximum number of requests in flight; may be fractional.
    pub in_flight: f64,
}

/// Snapshot of the fleet.
#[derive(Clone, Debug)]
pub struct View {
    /// Bundle in force.
    pub bundle: Arc<Bundle>,
    /// Availability zone of this node.
    pub zone: ZoneId,
    /// Whether an endpoint may get new work (listed as live, ready and not leaving), by endpoint.
    pub available: Vec<bool>,
    /// Endpoints that other nodes have ejected.
    pub ejected: Vec<EndpointId>,
    /// Fingerprints of requests that were in flight on an endpoint when it died, reported by other
    /// nodes.
    pub suspects: Vec<u64>,
    /// Fingerprints with a pending verdict at another node.
    pub pending: Vec<u64>,
    /// Fingerprints of requests that crash endpoints.
    pub condemned: Vec<u64>,
    /// This worker's share of each team's limits, by team.
    pub shares: Vec<Share>,
    /// Retries per second that this worker may spend from the fleet's retry budget.
    pub retry_rate: f64,
    /// Whether this node is leaving and admits no new requests.
    pub leaving: bool,
}
