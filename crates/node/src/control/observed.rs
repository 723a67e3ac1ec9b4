//! What other nodes observed, read from the items that membership has spread.

use bundle::Bundle;
use bundle::id::EndpointId;
use member::group::Group;
use member::item::{Key, Observation};
use std::collections::BTreeSet;

/// Observations of other nodes that count now.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Observed {
    /// Endpoints that somebody ejected.
    pub ejected: Vec<EndpointId>,
    /// Fingerprints in flight at an endpoint's death.
    pub suspects: Vec<u64>,
    /// Fingerprints on which a verdict is awaited.
    pub pending: Vec<u64>,
    /// Fingerprints of requests that crash endpoints, this node's own included.
    pub condemned: Vec<u64>,
}

/// Reads the items of all nodes. Items that have run out are gone from the store.
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
                // The node that awaits the verdict knows by itself when it is due.
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

/// Where a node serves callers, if it said so.
pub fn callers_address(
    group: &Group,
    origin: member::identity::Id,
) -> Option<(std::net::SocketAddr, bool)> {
    match group.store().get(origin, &Key::Callers)?.body {
        Observation::Callers { addr, tls } => Some((addr, tls)),
        _ => None,
    }
}

/// Share of a node's capacity that is free, as it last said.
pub fn free_fraction(group: &Group, origin: member::identity::Id) -> f64 {
    match group.store().get(origin, &Key::Load).map(|s| &s.body) {
        Some(Observation::Load(level)) => (1.0 - level.amount()).clamp(0.0, 1.0),
        _ => 1.0,
    }
}
