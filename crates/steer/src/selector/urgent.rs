//! Expected urgent requests, and the capacity that less urgent ones leave free for them.

use super::chain::mean_age;
use super::{Selector, engine_of};
use crate::Timestamp;
use crate::chain::Need;
use crate::queue;
use crate::queue::reserve::Reserve;
use crate::target::ReservationId;
use catalog::engine::Engine;
use catalog::service::Service;

impl Selector {
    /// Records the arrival of an urgent request for a model service.
    pub fn record_urgent(&mut self, now: Timestamp, service: &str, need: &Need) {
        if engine_of(&self.fleet, service).is_none() {
            return;
        }
        let demand = self.urgent_demands.entry(service.to_owned()).or_default();
        demand.record(now, need.tokens());
    }

    /// Returns the name of the service at whose endpoints an attempt holds capacity.
    pub fn service_of_reservation(&self, id: ReservationId) -> Option<&str> {
        let shares = &self.reservations.get(&id)?.shares;
        shares.iter().find_map(|share| self.service_of(&share.run))
    }

    /// Returns the capacity of the usable rows that a request leaves free for urgent ones; `None` if
    /// the routes of the service have one priority, or no urgent request is expected.
    pub(super) fn urgent_reserve(
        &self,
        now: Timestamp,
        service: &Service,
        engine: &Engine,
        need: &Need,
        usable: &[usize],
    ) -> Option<Reserve> {
        let demand = self.urgent_demands.get(&service.name)?;
        let catalog = &self.fleet.catalog;
        let id = catalog.service_id(&service.name)?;
        if need.urgent || !queue::has_priorities(catalog, id) {
            return None;
        }
        let rows = usable.iter().map(|&at| &self.rows[at]);
        let age = mean_age(now, rows.clone());
        let tokens = demand.expected_tokens(now, self.nodes(), age);
        let endpoints = rows.map(|row| (row.endpoint.span, row.capacity));
        (tokens > 0.0).then(|| Reserve::new(engine.layers, tokens, endpoints))
    }
}
