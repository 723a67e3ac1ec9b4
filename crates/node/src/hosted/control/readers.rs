//! Which nodes read the store and ask the engines, for themselves and for the others.
//!
//! The first two nodes of each availability zone read the store; the others of the zone take
//! copies from them. The cost of calls to the store then grows with the zones, not with the nodes.
//! The first node of a zone asks the zone's engines for their loads.

use member::group::Group;
use member::peer::Peer;
use std::net::SocketAddr;

/// Nodes of a zone that read the store: one may be cut off or stopped.
const READERS: usize = 2;

/// This node's part, and whom it asks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Part {
    /// Whether it reads the store.
    pub reads: bool,
    /// Readers of its zone, itself left out.
    pub readers: Vec<SocketAddr>,
    /// The nodes that ask the engines of each zone, itself left out.
    pub pollers: Vec<SocketAddr>,
    /// Zones whose engines it asks; empty for none.
    pub polls: Vec<String>,
    /// Zones that have a node; the engines of others are asked by the first node of all.
    pub zones: Vec<String>,
    /// Whether it is the first node of all.
    pub first: bool,
}

impl Part {
    /// The part of the group's own node, in `zone`.
    pub fn of(group: &Group, zone: &str) -> Self {
        let me = group.me();
        let mut open: Vec<&Peer> = group.open().collect();
        open.sort_by_key(|p| p.id);
        let own: Vec<&Peer> = open
            .iter()
            .copied()
            .filter(|p| p.identity.zone == zone)
            .take(READERS)
            .collect();
        let mut zones: Vec<String> = open.iter().map(|p| p.identity.zone.clone()).collect();
        zones.sort();
        zones.dedup();
        let poller = |zone: &String| open.iter().find(|p| p.identity.zone == *zone).copied();
        let pollers: Vec<&Peer> = zones.iter().filter_map(poller).collect();
        let others = |peers: &[&Peer]| -> Vec<SocketAddr> {
            let others = peers.iter().filter(|p| p.id != me);
            others.map(|p| p.identity.addr).collect()
        };
        let polls = pollers.iter().filter(|p| p.id == me);
        Self {
            reads: own.iter().any(|p| p.id == me) || own.is_empty(),
            readers: others(&own),
            pollers: others(&pollers),
            polls: polls.map(|p| p.identity.zone.clone()).collect(),
            zones,
            first: open.first().is_some_and(|p| p.id == me),
        }
    }

    /// Whether it asks the engines of `zone`.
    pub fn asks(&self, zone: &str) -> bool {
        let has_node = self.zones.iter().any(|z| z == zone);
        self.polls.iter().any(|z| z == zone) || (self.first && !has_node)
    }
}
