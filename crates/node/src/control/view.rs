//! Builds what the workers and handlers read.

use super::demand::Table;
use super::endpoints;
use super::instance_list::InstanceList;
use super::observed;
use crate::settings::Settings;
use bundle::Bundle;
use bundle::endpoint::Endpoint;
use bundle::id::EndpointId;
use entry::address::Address;
use entry::snapshot::Snapshot;
use member::group::Group;
use member::peer::{Peer, State};
use member::team::Share;
use route::view::View;
use std::net::SocketAddr;
use std::sync::Arc;

/// Retries per second of the whole fleet, as a part of the requests that teams may start.
const RETRY_FRACTION: f64 = 0.1;
/// Retries per second that a worker may always spend.
const MIN_RETRY_RATE: f64 = 0.5;

/// What a view is built from.
pub struct Source<'a> {
    /// Settings of the node.
    pub settings: &'a Settings,
    /// The callers' listener as others reach it.
    pub callers: SocketAddr,
    /// The bundle in force.
    pub bundle: &'a Arc<Bundle>,
    /// The instance list.
    pub instance_list: &'a InstanceList,
    /// The nodes.
    pub group: &'a Group,
    /// The node's shares of the teams' limits.
    pub shares: &'a [Share],
    /// What endpoints report.
    pub endpoints: &'a endpoints::Table,
    /// Demand by worker.
    pub demand: &'a Table,
    /// Whether the node leaves.
    pub leaving: bool,
}

impl Source<'_> {
    /// The snapshots of all workers, in order. Most of a snapshot is the same for all; looking it
    /// up takes long in a large fleet, so it is done once.
    pub fn snapshots(&self, workers: usize) -> Vec<Snapshot> {
        let versions = self.endpoints.serving_versions(self.bundle);
        let view = self.shared_view(&versions);
        let addresses = self.addresses();
        (0..workers)
            .map(|worker| Snapshot {
                view: Arc::new(self.worker_view(view.clone(), worker)),
                versions: versions.clone(),
                addresses: addresses.clone(),
            })
            .collect()
    }

    /// The view with one worker's shares.
    fn worker_view(&self, view: View, worker: usize) -> View {
        let shares = self
            .demand
            .worker_shares(worker, self.shares, self.group.me());
        let retries = shares.iter().map(|s| s.rate).sum::<f64>() * RETRY_FRACTION;
        View {
            shares,
            retry_rate: retries.max(MIN_RETRY_RATE),
            ..view
        }
    }

    /// The part of the view that is the same for all workers.
    fn shared_view(&self, versions: &[String]) -> View {
        let observed = observed::collect(self.group, self.bundle);
        View {
            bundle: self.bundle.clone(),
            zone: self.bundle.zone(&self.settings.node.zone).unwrap_or(0),
            available: self.available(versions),
            ejected: observed.ejected,
            suspects: observed.suspects,
            pending: observed.pending,
            condemned: observed.condemned,
            shares: Vec::new(),
            retry_rate: 0.0,
            // A node that leaves serves all that still comes; the listener ends it.
            leaving: false,
        }
    }

    fn available(&self, versions: &[String]) -> Vec<bool> {
        let rows = (0..).zip(&self.bundle.endpoints);
        rows.map(|(id, e)| {
            self.instance_list.accepts_work(&e.instance) && self.is_ready(id, e, versions)
        })
        .collect()
    }

    /// Whether an endpoint holds what new requests are sent to. In the middle of a roll those on
    /// another version get no new work: a chain must not mix versions.
    fn is_ready(&self, id: EndpointId, endpoint: &Endpoint, versions: &[String]) -> bool {
        let mut spans = endpoint.spans.iter();
        spans.all(|s| {
            let version = &versions[usize::from(s.model)];
            self.endpoints.serves(self.bundle, id, s.model, version)
        })
    }

    /// Nodes that take new callers: this one unless it leaves, and peers that are up.
    fn addresses(&self) -> Vec<Address> {
        let me = self.group.me();
        let peers = self.group.roster().iter();
        let up = peers.filter(|p| p.id != me && accepts_callers(p));
        let mut addresses: Vec<_> = up.filter_map(|p| self.peer_address(p)).collect();
        if !self.leaving {
            addresses.push(self.own_address(observed::free_fraction(self.group, me)));
        }
        addresses
    }

    fn peer_address(&self, peer: &Peer) -> Option<Address> {
        let (addr, tls) = observed::callers_address(self.group, peer.id)?;
        Some(Address {
            node: peer.identity.name.clone(),
            addr,
            tls,
            zone: peer.identity.zone.clone(),
            region: peer.identity.region.clone(),
            free: observed::free_fraction(self.group, peer.id),
        })
    }

    fn own_address(&self, free: f64) -> Address {
        let node = &self.settings.node;
        Address {
            node: node.name.clone(),
            addr: self.callers,
            tls: self.settings.callers.tls.is_some(),
            zone: node.zone.clone(),
            region: node.region.clone(),
            free,
        }
    }
}

/// A suspected peer is not named: a caller that was sent to a dead node has to ask again, while
/// one that is sent past a living node loses nothing.
fn accepts_callers(peer: &Peer) -> bool {
    let listed = peer.listed != Some(member::peer::ListedState::Leaving);
    peer.state == State::Up && !peer.leaving && listed
}
