//! Services whose endpoints nodes are isolated from.
//!
//! Each node finds out for itself and tells the others. A node that is isolated from most endpoints
//! stays a member with its duties towards the store; it is not named to callers, and it neither polls
//! engines nor gives orders.

use super::State;
use member::event::Event;
use member::identity::Id;
use member::item::Observation;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

/// Lifetime of the observation that a node is isolated, unless it is renewed.
const ISOLATED_TTL: Duration = Duration::from_secs(3);
/// Interval at which the observation is renewed.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

impl State {
    /// Records whether the worker reaches an endpoint of a service, and publishes it to the other
    /// nodes.
    pub(super) fn publish_isolation(&mut self, now: Instant, service: String, isolated: bool) {
        if isolated {
            let renewed = |at: &&mut Instant| now < **at + RENEWAL_INTERVAL;
            if self.isolated.get_mut(&service).filter(renewed).is_some() {
                return;
            }
            if self.isolated.insert(service.clone(), now).is_none() {
                // Polls before the isolation was found out failed for the same reason.
                self.loads.forget_misses();
            }
        } else {
            self.isolated.remove(&service);
        }
        let observation = Observation::Isolated {
            service,
            isolated,
            ttl: ISOLATED_TTL,
        };
        self.handle_event(Event::Publish(vec![observation]));
        self.dirty = true;
    }

    /// Returns whether this node is isolated from a service.
    pub(super) fn is_isolated(&self, now: Instant, service: &str) -> bool {
        let published = self.isolated.get(service);
        published.is_some_and(|&at| now < at + ISOLATED_TTL)
    }

    /// Returns the nodes that are isolated from most endpoints; none if all nodes that accept requests
    /// are, since then the endpoints are at fault.
    pub(super) fn isolated_nodes(&self) -> BTreeSet<Id> {
        let isolated = self.group.isolated(self.start.elapsed());
        if isolated.is_empty() {
            return BTreeSet::new();
        }
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        let endpoints = self.tables.endpoints();
        endpoints.for_each(|e| *counts.entry(&e.service).or_default() += 1);
        let all: usize = counts.values().sum();
        let from_most = |services: &BTreeSet<&str>| {
            let lost = services.iter().filter_map(|s| counts.get(s));
            lost.sum::<usize>() * 2 > all
        };
        let nodes = isolated.iter().filter(|(_, services)| from_most(services));
        let nodes: BTreeSet<Id> = nodes.map(|(&id, _)| id).collect();
        let any_connected = self.group.accepting().any(|p| !nodes.contains(&p.id));
        if any_connected {
            nodes
        } else {
            BTreeSet::new()
        }
    }
}
