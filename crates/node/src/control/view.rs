//! Builds what the workers and handlers read.

use super::demand::Table;
use super::endpoints;
use super::listed::Listed;
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
const RETRY_PART: f64 = 0.1;
/// Retries per second that a worker may always spend.
const LEAST_RETRIES: f64 = 0.5;

/// What a view is built from.
pub struct Source<'a> {
    /// Settings of the node.
    pub settings: &'a Settings,
    /// The callers' listener as others reach it.
    pub callers: SocketAddr,
    /// The bundle in force.
    pub bundle: &'a Arc<Bundle>,
    /// The instance list.
    pub listed: &'a Listed,
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
        let versions = self.endpoints.versions(self.bundle);
        let view = self.view(&versions);
        let addresses = self.addresses();
        (0..workers)
            .map(|worker| Snapshot {
                view: Arc::new(self.own_part(view.clone(), worker)),
                versions: versions.clone(),
                addresses: addresses.clone(),
            })
            .collect()
    }

    /// The view with one worker's shares.
    fn own_part(&self, view: View, worker: usize) -> View {
        let shares = self.demand.worker(worker, self.shares, self.group.me());
        let retries = shares.iter().map(|s| s.rate).sum::<f64>() * RETRY_PART;
        View {
            shares,
            retry_rate: retries.max(LEAST_RETRIES),
            ..view
        }
    }

    /// The part of the view that is the same for all workers.
    fn view(&self, versions: &[String]) -> View {
        let observed = observed::read(self.group, self.bundle);
        View {
            bundle: self.bundle.clone(),
            zone: self.bundle.zone(&self.settings.node.zone).unwrap_or(0),
            available: self.open(versions),
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

    fn open(&self, versions: &[String]) -> Vec<bool> {
        let rows = (0..).zip(&self.bundle.endpoints);
        rows.map(|(id, e)| self.listed.takes_work(&e.instance) && self.ready(id, e, versions))
            .collect()
    }

    /// Whether an endpoint holds what new requests are sent to. In the middle of a roll those on
    /// another version get no new work: a chain must not mix versions.
    fn ready(&self, id: EndpointId, endpoint: &Endpoint, versions: &[String]) -> bool {
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
        let up = peers.filter(|p| p.id != me && takes_callers(p));
        let mut addresses: Vec<_> = up.filter_map(|p| self.peer(p)).collect();
        if !self.leaving {
            addresses.push(self.own(observed::free(self.group, me)));
        }
        addresses
    }

    fn peer(&self, peer: &Peer) -> Option<Address> {
        let (addr, tls) = observed::callers(self.group, peer.id)?;
        Some(Address {
            node: peer.identity.name.clone(),
            addr,
            tls,
            zone: peer.identity.zone.clone(),
            region: peer.identity.region.clone(),
            free: observed::free(self.group, peer.id),
        })
    }

    fn own(&self, free: f64) -> Address {
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
fn takes_callers(peer: &Peer) -> bool {
    let listed = peer.listed != Some(member::peer::ListedState::Leaving);
    peer.state == State::Up && !peer.leaving && listed
}
