//! Services whose endpoints nodes are isolated from.
//!
//! Each node finds out for itself and tells the others, when it begins and ends; if the endpoints of a
//! service end, all nodes do so. A node that is isolated from most endpoints stays a member with its
//! duties towards the store; it is not named to callers, and it neither polls engines nor gives orders.

use super::State;
use member::event::Event;
use member::identity::Id;
use member::item::Observation;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

/// Lifetime of the observation that a node is isolated, unless it is renewed.
const ISOLATED_TTL: Duration = Duration::from_secs(30);
/// Age at which the observation is renewed.
const RENEWAL_AGE: Duration = Duration::from_secs(15);
/// Time without a report of the worker, which repeats it several times a second, after which the
/// node counts as no longer isolated: the report of the end was dropped.
const REPORT_TIMEOUT: Duration = Duration::from_secs(3);

/// A service that this node is isolated from.
#[derive(Clone, Copy, Debug)]
pub(super) struct Isolation {
    /// When the worker last reported it.
    reported_at: Instant,
    /// When it was last published.
    published_at: Instant,
}

impl State {
    /// Records whether the worker reaches an endpoint of a service, and publishes it to the other
    /// nodes.
    pub(super) fn publish_isolation(&mut self, now: Instant, service: String, isolated: bool) {
        if isolated {
            if let Some(isolation) = self.isolated.get_mut(&service) {
                isolation.reported_at = now;
                if now < isolation.published_at + RENEWAL_AGE {
                    return;
                }
            } else {
                // Polls before the isolation was found out failed for the same reason.
                self.loads.forget_misses();
            }
            let isolation = Isolation {
                reported_at: now,
                published_at: now,
            };
            self.isolated.insert(service.clone(), isolation);
        } else if self.isolated.remove(&service).is_none() {
            return;
        }
        let observation = Observation::Isolated {
            service,
            isolated,
            ttl: ISOLATED_TTL,
        };
        self.handle_event(Event::Publish(vec![observation]));
        self.dirty = true;
    }

    /// Ends the isolation from services that the worker no longer reports.
    pub(super) fn expire_isolation(&mut self, now: Instant) {
        let expired = self.isolated.iter();
        let expired = expired.filter(|(_, i)| now >= i.reported_at + REPORT_TIMEOUT);
        let expired: Vec<String> = expired.map(|(service, _)| service.clone()).collect();
        for service in expired {
            self.publish_isolation(now, service, false);
        }
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
