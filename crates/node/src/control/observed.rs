//! Observations of other nodes, read from the items that membership has spread.

use bundle::Bundle;
use bundle::id::EndpointId;
use member::group::Group;
use member::item::{Key, Observation};
use std::collections::BTreeSet;

/// Observations that currently apply.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Observed {
    /// Endpoints that another node has ejected.
    pub ejected: Vec<EndpointId>,
    /// Fingerprints of requests that were in flight on an endpoint when it died.
    pub suspects: Vec<u64>,
    /// Fingerprints on which another node's verdict is pending.
    pub pending: Vec<u64>,
    /// Fingerprints of requests that crash endpoints, this node's own included.
    pub condemned: Vec<u64>,
}

/// Collects the observations of all nodes. Expired items are no longer in the store.
pub fn collect(group: &Group, bundle: &Bundle) -> Observed {
    let mut ejected = BTreeSet::new();
    let mut suspects = BTreeSet::new();
    let mut pending = BTreeSet::new();
    let mut condemned = BTreeSet::new();
    let store = group.store();
    for origin in store.origins() {
        let is_peer = origin != group.me();
        for (_, slot) in store.items(origin) {
            match &slot.body {
                Observation::Endpoint {
                    name,
                    ejected: true,
                    ..
                } if is_peer => ejected.extend(bundle.endpoint(name)),
                Observation::Suspect { fingerprint, .. } => {
                    suspects.insert(*fingerprint);
                }
                // The node that waits for the verdict tracks its own deadline.
                Observation::Pending { fingerprint, .. } if is_peer => {
                    pending.insert(*fingerprint);
                }
                Observation::Condemned { fingerprint, .. } => {
                    condemned.insert(*fingerprint);
                }
                _ => {}
            }
        }
    }
    Observed {
        ejected: ejected.into_iter().collect(),
        suspects: suspects.into_iter().collect(),
        pending: pending.into_iter().collect(),
        condemned: condemned.into_iter().collect(),
    }
}

/// Returns the address at which a node serves callers and whether it uses TLS, if the node has
/// published it.
pub fn callers_address(
    group: &Group,
    origin: member::identity::Id,
) -> Option<(std::net::SocketAddr, bool)> {
    match group.store().get(origin, &Key::Callers)?.body {
        Observation::Callers { addr, tls } => Some((addr, tls)),
        _ => None,
    }
}

/// Returns the free fraction of a node's capacity by its last published load; 1 if it has published
/// none.
pub fn free_fraction(group: &Group, origin: member::identity::Id) -> f64 {
    match group.store().get(origin, &Key::Load).map(|s| &s.body) {
        Some(Observation::Load(level)) => (1.0 - level.amount()).clamp(0.0, 1.0),
        _ => 1.0,
    }
}
