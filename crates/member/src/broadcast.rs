//! Broadcast of observations that all nodes act on within milliseconds.
//!
//! The origin sends the items to each node that accepts work, or in a large group along a tree, whose
//! inner nodes forward them. A node that a broadcast misses gets the items by the ordinary
//! dissemination of urgent items, which takes seconds.

use crate::Now;
use crate::action::Action;
use crate::group::Group;
use crate::identity::Id;
use crate::item::{Item, Observation, Version};
use crate::message::Body;

/// Largest number of nodes that the origin sends a broadcast to itself.
const MAX_DIRECT_RECEIVERS: usize = 128;
/// Number of children of a node in the tree of a broadcast. At 370 nodes the tree has a depth of three.
const TREE_CHILDREN: usize = 16;

impl Group {
    /// Queues a publication for broadcast if it changes an observation that is to be broadcast. A renewal
    /// spreads by the ordinary dissemination alone: it is not urgent, and repeats while the observation
    /// holds.
    pub(crate) fn broadcast_changes(
        &mut self,
        now: Now,
        version: Version,
        observations: &[Observation],
    ) {
        let changes = |body: &Observation| body.broadcast() && !self.is_renewal(now, body);
        if !observations.iter().any(changes) {
            return;
        }
        let (origin, incarnation) = (self.me, self.incarnation());
        let item = |body: &Observation| Item {
            origin,
            incarnation,
            version,
            body: body.clone(),
        };
        let urgent = observations.iter().filter(|body| body.urgent());
        self.broadcasts.extend(urgent.map(item));
    }

    /// Returns whether this node's own valid item says the same already.
    fn is_renewal(&self, now: Now, body: &Observation) -> bool {
        let slot = self.store.get(self.me, &body.key());
        let slot = slot.filter(|slot| slot.expires_at.is_none_or(|at| at > now));
        let ttl = body.ttl().unwrap_or_default();
        slot.is_some_and(|slot| slot.body.clone().with_ttl(ttl) == *body)
    }

    /// Sends the queued broadcasts of this node.
    pub(crate) fn send_broadcasts(&mut self, out: &mut Vec<Action>) {
        if self.broadcasts.is_empty() {
            return;
        }
        let items = std::mem::take(&mut self.broadcasts);
        let receivers = self.broadcast_receivers(self.me);
        self.send_items(&receivers, &items, out);
    }

    /// Handles urgent items, and forwards the new ones of a broadcast to this node's children in its tree.
    pub(crate) fn handle_items(&mut self, now: Now, items: Vec<Item>, out: &mut Vec<Action>) {
        let mut new = Vec::new();
        for item in items {
            if self.handle_item(now, item.clone(), out) {
                new.push(item);
            }
        }
        let broadcasts = new.iter().filter(|i| i.body.broadcast());
        let mut publications: Vec<(Id, Version)> =
            broadcasts.map(|i| (i.origin, i.version)).collect();
        publications.dedup();
        for (origin, version) in publications {
            let receivers = self.broadcast_receivers(origin);
            let items = new.iter();
            let items = items.filter(|i| (i.origin, i.version) == (origin, version));
            let items: Vec<Item> = items.cloned().collect();
            self.send_items(&receivers, &items, out);
        }
    }

    /// Returns the nodes to which this node sends a broadcast of `origin`. The tree consists of the nodes
    /// that accept work, in the order of the roster from the origin on.
    fn broadcast_receivers(&self, origin: Id) -> Vec<Id> {
        let mut nodes: Vec<Id> = self.accepting().map(|p| p.id).collect();
        let root = nodes.iter().position(|id| *id == origin);
        if nodes.len() <= MAX_DIRECT_RECEIVERS {
            nodes.retain(|id| *id != self.me);
            return if origin == self.me { nodes } else { Vec::new() };
        }
        // A root that is leaving is no node of the tree; only it knows where to send.
        let Some(root) = root else {
            nodes.truncate(TREE_CHILDREN);
            return if origin == self.me { nodes } else { Vec::new() };
        };
        nodes.rotate_left(root);
        let Some(position) = nodes.iter().position(|id| *id == self.me) else {
            return Vec::new();
        };
        let children = nodes.iter().skip(position * TREE_CHILDREN + 1);
        children.take(TREE_CHILDREN).copied().collect()
    }

    fn send_items(&mut self, receivers: &[Id], items: &[Item], out: &mut Vec<Action>) {
        for &peer in receivers {
            if let Some(to) = self.addr(peer) {
                self.send(peer, to, Body::Items(items.to_vec()), out);
            }
        }
    }
}
