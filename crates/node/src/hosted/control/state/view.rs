//! The view that is published to the worker.

use super::State;
use catalog::Endpoint;
use gate::view::View;
use std::sync::Arc;
use steer::Fleet;
use tokio::time::Instant;

/// Until membership has settled, a recently started node assumes that one node per this number of
/// endpoints selects chains at the same time. Without this assumption, nodes that start together
/// all select the cheapest chain, each as if it were the only node.
const ENDPOINTS_PER_SELECTING_NODE: usize = 2;

impl State {
    /// Publishes the view if it changed. A change that is not urgent may be delayed to a later
    /// step.
    pub(super) fn publish(&mut self) {
        let now = Instant::now();
        let due = self.dirty && self.publishing.due(now);
        if !due && !self.urgent {
            return;
        }
        (self.dirty, self.urgent) = (false, false);
        self.update_failures(now);
        let Some(catalog) = self.tables.catalog() else {
            return;
        };
        let nodes = self.caller_addrs();
        let endpoints = self.tables.endpoints();
        let endpoints: Vec<Endpoint> = endpoints.map(|e| self.loads.overlay(now, e)).collect();
        let selecting_nodes = match self.settled() {
            true => nodes.len(),
            false => endpoints.len() / ENDPOINTS_PER_SELECTING_NODE,
        };
        let view = View {
            fleet: Fleet {
                catalog: catalog.clone(),
                endpoints: Arc::new(endpoints),
                loads: Arc::new(self.loads.view(now, self.start)),
                reported_failed: self.failures.current(),
                ended: self.ended.clone(),
                confirmed_ended: self.confirmed_ended.clone(),
                releasing: Arc::new(self.group.releasing(self.start.elapsed())),
                leaving: Arc::new(self.loads.leaving()),
                members: Arc::new(nodes.clone()),
                me: Some(self.settings.callers),
                nodes: nodes.len().max(1),
                selecting_nodes,
                budget_nodes: self.budget_nodes(),
            },
            nodes,
            relays: self.relays(),
            leaving: self.leaving,
            crashes: Arc::new(self.crashes.clone()),
        };
        self.shared_view.store(Some(Arc::new(view)));
        let ended = Instant::now();
        self.publishing.record_run(now, ended);
        self.metrics.record_control_run("view", ended - now);
    }

    /// Publishes the runs that have ended to the worker at once, if they changed. The rest of the view is
    /// taken from the last one, since computing it takes milliseconds in a large fleet.
    pub(super) fn refresh_ended(&mut self, now: Instant) {
        let elapsed = self.start.elapsed();
        let ended = self.group.ended_by(elapsed, 1);
        let confirmed = self.group.confirmed_ended(elapsed);
        if *self.ended == ended && *self.confirmed_ended == confirmed {
            return;
        }
        self.ended = Arc::new(ended);
        self.confirmed_ended = Arc::new(confirmed);
        self.metrics.record_ended(self.ended.len());
        self.update_failures(now);
        self.dirty = true;
        if let Some(current) = self.shared_view.load_full() {
            let mut view = View::clone(&current);
            view.fleet.ended = self.ended.clone();
            view.fleet.confirmed_ended = self.confirmed_ended.clone();
            view.fleet.reported_failed = self.failures.current();
            self.shared_view.store(Some(Arc::new(view)));
            self.changes.send_modify(|number| *number += 1);
        }
    }
}
