//! Price of prefill in a search.

use super::Policy;
use super::means::Means;
use crate::chain::Need;
use crate::row::Row;
use catalog::engine::Engine;
use std::time::Duration;

/// Price of a stage whose prefill in progress exceeds the bound, in seconds. It exceeds the price of
/// any chain below the bound and is finite, so that such a stage is used if there is no other chain.
const OVER_BOUND_COST_SECS: f64 = 1e6;

/// Factor on a delay of first events. The price of time in the system grows to six times with the
/// utilization of an endpoint, and a delay must not lose its weight against it.
const DELAY_COST_FACTOR: f64 = 6.0;

/// Price of prefill at one endpoint, in seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct PrefillPrice {
    /// For a stage of any number of layers.
    fixed: f64,
    /// For each layer.
    per_layer: f64,
    /// For the square of the number of layers.
    per_square: f64,
}

impl PrefillPrice {
    /// Returns the price of a stage of this many layers.
    pub(crate) fn of(&self, layers: f64) -> f64 {
        self.fixed + (self.per_layer + self.per_square * layers) * layers
    }
}

/// Inputs of the price of prefill for one request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pricing {
    policy: Policy,
    /// Weight of a second of delay to first events.
    weight: f64,
    /// Fraction of the model that one layer makes up.
    layer_fraction: f64,
    /// Work of the request's own prefill, and the part of it that is due to pairs of tokens.
    work: f64,
    pair_work: f64,
    /// Requests that start per second, for each token-layer in use.
    starts_per_token_layer: f64,
    /// Work of prefill that other nodes have in progress, for each token-layer in use.
    others_work_per_token_layer: f64,
}

impl Pricing {
    /// Creates the pricing for a request of size `need` in a service whose requests have a mean
    /// residence time of `residence` and are sent by `nodes` nodes.
    ///
    /// Requests that start and prefill in progress of other nodes follow from the capacity in use
    /// (Little's law): of the requests in flight at an endpoint, a fraction of the time to the first
    /// event divided by the residence time is in prefill, each with half of its work left. Their mean
    /// size is that of the requests of this node.
    pub(crate) fn new(
        policy: Policy,
        engine: &Engine,
        means: &Means,
        residence: Duration,
        nodes: f64,
        need: &Need,
    ) -> Self {
        let residence = residence.as_secs_f64().max(1e-3);
        let work = engine.prefill_work(need.size.prompt);
        let starts = 1.0 / (means.tokens().max(1.0) * residence);
        let others = (nodes - 1.0).max(0.0) / nodes.max(1.0);
        let half_prefill = means.first_event_time().as_secs_f64() / 2.0;
        Self {
            policy,
            // A first event that is late by one latency target costs a request as much as its whole
            // time in the system.
            weight: DELAY_COST_FACTOR
                * (residence / policy.latency_target.as_secs_f64().max(1e-3)).max(1.0),
            layer_fraction: engine.model_fraction(1),
            work,
            pair_work: work - f64::from(need.size.prompt),
            starts_per_token_layer: starts,
            others_work_per_token_layer: starts * others * means.work() * half_prefill,
        }
    }

    /// Returns the price of stages on a row of which all nodes use `used` token-layers and where
    /// this node has `own_secs` of prefill in progress.
    pub(crate) fn price(&self, row: &Row, used: f64, own_secs: f64) -> PrefillPrice {
        let token_secs = token_secs(&self.policy, row) * self.layer_fraction;
        let others_secs = used * self.others_work_per_token_layer * token_secs;
        let wait = own_secs + others_secs;
        let is_over = wait > self.policy.max_backlog().as_secs_f64();
        let over = if is_over { OVER_BOUND_COST_SECS } else { 0.0 };
        let starts = used * self.starts_per_token_layer / f64::from(row.endpoint.span.len().max(1));
        // Time in which one layer prefills the prompt. The requests that start meanwhile are
        // delayed by as much, so the delay grows with the square of the number of layers.
        let secs = self.work * token_secs;
        let pairs = self.pair_work * row.prefill_secs * row.slowdown * self.layer_fraction;
        PrefillPrice {
            fixed: self.weight * wait + over,
            per_layer: pairs,
            per_square: self.weight * starts * secs * secs,
        }
    }
}

/// Returns the time that one token's prefill takes through all layers on a row, in seconds. Between
/// two chunks the endpoint runs decode steps of other requests.
pub(crate) fn token_secs(policy: &Policy, row: &Row) -> f64 {
    (row.prefill_secs + row.step_secs / policy.tokens_per_step) * row.slowdown
}
