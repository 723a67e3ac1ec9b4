//! Builds the snapshots that the workers and their handlers read.

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
use std::collections::HashSet;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

/// Retries per second, as a fraction of the requests per second that teams may start. It bounds the
/// retries of the whole fleet, since each worker applies it to its own shares.
const RETRY_FRACTION: f64 = 0.1;
/// Minimum number of retries per second that a worker may always make.
const MIN_RETRY_RATE: f64 = 0.5;

/// Input from which snapshots are built.
pub struct Source<'a> {
    /// Settings of the node.
    pub settings: &'a Settings,
    /// Address at which callers reach this node.
    pub callers: SocketAddr,
    /// The bundle in force.
    pub bundle: &'a Arc<Bundle>,
    /// States of the endpoints' instances in the instance list.
    pub instance_list: &'a InstanceList,
    /// Group of all nodes.
    pub group: &'a Group,
    /// This node's shares of the teams' limits.
    pub shares: &'a [Share],
    /// Reports of the endpoints.
    pub endpoints: &'a endpoints::Table,
    /// Demand by worker.
    pub demand: &'a Table,
    /// Whether this node is leaving.
    pub leaving: bool,
}

impl Source<'_> {
    /// Builds the snapshots of all workers, in their order. Most of a snapshot is the same for all
    /// workers. That part is built only once, because it is slow in a large fleet.
    pub fn snapshots(&self, workers: usize) -> Vec<Snapshot> {
        let versions = self.endpoints.serving_versions(self.bundle);
        let view = self.shared_view(&versions);
        let addresses = self.addresses();
        let peer_ips = Arc::new(self.peer_ips());
        (0..workers)
            .map(|worker| Snapshot {
                view: Arc::new(self.worker_view(view.clone(), worker)),
                versions: versions.clone(),
                addresses: addresses.clone(),
                peer_ips: peer_ips.clone(),
            })
            .collect()
    }

    /// Adds one worker's shares and retry rate to the shared view.
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

    /// Builds the part of the view that is the same for all workers.
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
            // A leaving node still serves all requests that reach it. The listener stops accepting
            // them when the drain time is over.
            leaving: false,
        }
    }

    /// Returns whether each endpoint of the bundle may get new requests.
    fn available(&self, versions: &[String]) -> Vec<bool> {
        let rows = (0..).zip(&self.bundle.endpoints);
        rows.map(|(id, e)| {
            self.instance_list.accepts_work(&e.instance) && self.is_ready(id, e, versions)
        })
        .collect()
    }

    /// Returns whether an endpoint serves all its spans in the versions that new requests use.
    /// During a roll, endpoints with another version get no new work, since a chain must not mix
    /// versions.
    fn is_ready(&self, id: EndpointId, endpoint: &Endpoint, versions: &[String]) -> bool {
        let mut spans = endpoint.spans.iter();
        spans.all(|s| {
            let version = &versions[usize::from(s.model)];
            self.endpoints.serves(self.bundle, id, s.model, version)
        })
    }

    /// Returns the nodes to offer to callers: peers that accept callers, and this node unless it is
    /// leaving.
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

    /// Returns the IP addresses at which the other nodes listen.
    fn peer_ips(&self) -> HashSet<IpAddr> {
        let me = self.group.me();
        let peers = self.group.roster().iter().filter(|p| p.id != me);
        let ips = peers.flat_map(|p| {
            let callers = observed::callers_address(self.group, p.id);
            let callers = callers.map(|(addr, _)| addr.ip());
            callers.into_iter().chain([p.identity.addr.ip()])
        });
        ips.map(|ip| ip.to_canonical()).collect()
    }

    /// Returns the address of a peer, if it has published one.
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

    /// Returns the address of this node. `free` is the free fraction of its capacity.
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

/// Returns whether a peer is offered to callers. A suspected peer is not: a caller that gets the
/// address of a dead node has to request another, while omitting a live node costs callers nothing.
fn accepts_callers(peer: &Peer) -> bool {
    let listed = peer.listed != Some(member::peer::ListedState::Leaving);
    peer.state == State::Up && !peer.leaving && listed
}
