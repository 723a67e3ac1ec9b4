//! Orders to endpoints, and the announcement of what they change.

use super::State;
use catalog::Endpoint;
use catalog::endpoint::State as EndpointState;
use member::event::Event;
use member::item::Observation;
use std::time::Duration;
use tokio::time::Instant;

/// Lifetime of the announcement that an endpoint is to release its layers: until its report of the
/// new layers has reached all nodes.
const MOVE_NOTICE_TTL: Duration = Duration::from_secs(3);

impl State {
    /// Plans and sends orders to endpoints if this is one of the node's duties.
    pub(super) fn give_orders(&mut self, now: Instant) {
        if self.leaving || !self.settled() || !self.assignment.gives_orders() {
            return;
        }
        if !self.planning.due(now) {
            return self.orders.send_planned(now);
        }
        let Some(catalog) = self.tables.catalog() else {
            return;
        };
        let failures = &self.failures;
        let live = self.tables.endpoints();
        let live = live.filter(|e| !failures.is_lost(now, &e.run.to_string()));
        let live: Vec<Endpoint> = live.map(|e| self.planned(now, e)).collect();
        self.orders
            .step(now, &self.assignment, catalog, live.iter());
        let ended = Instant::now();
        self.planning.record_run(now, ended);
        self.metrics.record_control_run("plan", ended - now);
        self.announce_moves();
    }

    /// Returns an endpoint as orders are planned for it. One that announced that it leaves is draining,
    /// also while its row says otherwise: it gets no new requests, so its layers are missing.
    fn planned(&self, now: Instant, endpoint: &Endpoint) -> Endpoint {
        let mut planned = self.loads.overlay(now, endpoint);
        if self.departures.contains(&planned.run) {
            planned.state = EndpointState::Draining;
        }
        planned
    }

    /// Announces to the other nodes which endpoints are to release layers.
    fn announce_moves(&mut self) {
        let moving = self.orders.take_moving().into_iter();
        let moving = moving.map(|run| Observation::Releasing {
            name: run.to_string(),
            ttl: MOVE_NOTICE_TTL,
        });
        let moving: Vec<Observation> = moving.collect();
        if !moving.is_empty() {
            self.handle_event(Event::Publish(moving));
            self.dirty = true;
        }
    }
}
