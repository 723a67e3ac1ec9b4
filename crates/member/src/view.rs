//! Queries over the observations of all nodes, for the rest of the program.

use crate::Now;
use crate::group::Group;
use crate::identity::Id;
use crate::item::{Fingerprint, Key, Observation, Version};
use crate::level::Level;
use crate::peer::Peer;
use crate::store::Slot;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

impl Group {
    /// Returns the endpoints that any node has ejected.
    pub fn ejected(&self, now: Now) -> BTreeSet<&str> {
        let name = |body| match body {
            &Observation::Endpoint {
                ref name,
                ejected: true,
                ..
            } => Some(name.as_str()),
            _ => None,
        };
        self.observed(now).filter_map(name).collect()
    }

    /// Returns the endpoints that any node is about to order to release their layers.
    pub fn releasing(&self, now: Now) -> BTreeSet<String> {
        let name = |body: &Observation| match body {
            Observation::Releasing { name, .. } => Some(name.clone()),
            _ => None,
        };
        self.observed(now).filter_map(name).collect()
    }

    /// Returns the endpoints that at least `min_nodes` nodes have ejected.
    pub fn ejected_by(&self, now: Now, min_nodes: usize) -> BTreeSet<String> {
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for body in self.observed(now) {
            if let Observation::Endpoint {
                name,
                ejected: true,
                ..
            } = body
            {
                *counts.entry(name).or_default() += 1;
            }
        }
        let counts = counts.into_iter().filter(|&(_, count)| count >= min_nodes);
        counts.map(|(name, _)| name.to_owned()).collect()
    }

    /// Returns the runs that at least `min_nodes` nodes say have ended.
    pub fn ended_by(&self, now: Now, min_nodes: usize) -> BTreeSet<String> {
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for body in self.observed(now) {
            if let Observation::Ended {
                name, ended: true, ..
            } = body
            {
                *counts.entry(name).or_default() += 1;
            }
        }
        let counts = counts.into_iter().filter(|&(_, count)| count >= min_nodes);
        counts.map(|(name, _)| name.to_owned()).collect()
    }

    /// Returns the runs whose end is confirmed: another node than the one that says so reports it too, or
    /// the same node published a failure report of the endpoint together with it.
    pub fn confirmed_ended(&self, now: Now) -> BTreeSet<String> {
        let mut ended: Vec<(&str, Id, Version)> = Vec::new();
        let mut reports: BTreeMap<&str, Vec<(Id, Version)>> = BTreeMap::new();
        for origin in self.store().origins() {
            for (_, slot) in self.valid_items(origin, now) {
                let source = (origin, slot.version);
                match &slot.body {
                    Observation::Ended {
                        name, ended: true, ..
                    } => ended.push((name, source.0, source.1)),
                    Observation::Endpoint {
                        name,
                        ejected: true,
                        ..
                    } => reports.entry(name).or_default().push(source),
                    _ => {}
                }
            }
        }
        let is_confirmed = |&&(name, origin, version): &&(&str, Id, Version)| {
            let mut others = ended.iter().filter(|e| e.0 == name);
            let mut reports = reports.get(name).into_iter().flatten();
            others.any(|other| other.1 != origin)
                || reports.any(|r| r.0 != origin || r.1 == version)
        };
        let confirmed = ended.iter().filter(is_confirmed);
        confirmed.map(|(name, _, _)| (*name).to_owned()).collect()
    }

    /// Returns the services that each node is isolated from, without the nodes that are isolated from
    /// none.
    pub fn isolated(&self, now: Now) -> BTreeMap<Id, BTreeSet<&str>> {
        let mut isolated: BTreeMap<Id, BTreeSet<&str>> = BTreeMap::new();
        for origin in self.store().origins() {
            for (_, slot) in self.valid_items(origin, now) {
                if let Observation::Isolated {
                    service,
                    isolated: true,
                    ..
                } = &slot.body
                {
                    isolated.entry(origin).or_default().insert(service);
                }
            }
        }
        isolated
    }

    /// Returns the fingerprints of requests that were in flight when an endpoint died.
    pub fn suspect_fingerprints(&self, now: Now) -> BTreeSet<Fingerprint> {
        let fingerprint = |body: &Observation| match body {
            Observation::Suspect { fingerprint, .. } => Some(*fingerprint),
            _ => None,
        };
        self.observed(now).filter_map(fingerprint).collect()
    }

    /// Returns the fingerprints of requests on which a verdict is pending.
    pub fn pending_fingerprints(&self, now: Now) -> BTreeSet<Fingerprint> {
        let fingerprint = |body: &Observation| match body {
            Observation::Pending { fingerprint, .. } => Some(*fingerprint),
            _ => None,
        };
        self.observed(now).filter_map(fingerprint).collect()
    }

    /// Returns the fingerprints of requests that every node refuses.
    pub fn condemned_fingerprints(&self, now: Now) -> BTreeSet<Fingerprint> {
        let fingerprint = |body: &Observation| match body {
            Observation::Condemned { fingerprint, .. } => Some(*fingerprint),
            _ => None,
        };
        self.observed(now).filter_map(fingerprint).collect()
    }

    /// Returns the load that a node announced.
    pub fn load(&self, node: Id) -> Option<Level> {
        match self.store().get(node, &Key::Load)?.body {
            Observation::Load(level) => Some(level),
            _ => None,
        }
    }

    /// Iterates over the nodes that accept requests, including this one. Their addresses may be given to callers.
    pub fn accepting(&self) -> impl Iterator<Item = &Peer> {
        self.roster().iter().filter(|p| p.accepts_work())
    }

    /// Returns the node that listens on `addr`.
    pub fn node_at(&self, addr: SocketAddr) -> Option<Id> {
        self.roster()
            .iter()
            .find(|p| p.identity.addr == addr)
            .map(|p| p.id)
    }

    /// Iterates over all valid observations except demand. Demand has the last keys and by far the most items,
    /// so iteration stops before it.
    fn observed(&self, now: Now) -> impl Iterator<Item = &Observation> {
        let origins = self.store().origins();
        let items = origins.flat_map(move |origin| self.valid_items(origin, now));
        items.map(|(_, slot)| &slot.body)
    }

    /// Iterates over the valid observations of a node except demand.
    fn valid_items(&self, origin: Id, now: Now) -> impl Iterator<Item = (&Key, &Slot)> {
        let items = self.store().items(origin);
        let items = items.take_while(|(key, _)| **key < Key::Demand(0));
        items.filter(move |(_, slot)| slot.expires_at.is_none_or(|u| u > now))
    }
}
