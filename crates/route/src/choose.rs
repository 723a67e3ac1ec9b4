//! Selection of a chain: for each hop, draws a few stages weighted by planned flow and takes the
//! cheapest.
//!
//! Random draws keep many routers from all following the same stale load report. Taking the best of
//! a few, by in-flight work over planned flow, keeps each router's own work in proportion to the
//! flow. If none of the drawn stages accepts work, a search over all stages finds a chain if one
//! exists.

use crate::plan::Links;
use crate::plan::graph::{Graph, Stage, Successor};
use bundle::id::{EndpointId, ZoneId};
use rand::{Rng, RngExt};

pub mod locality;
pub mod search;

/// Load of endpoints and links, as needed by the selection.
pub trait Load {
    /// Number of streams on an endpoint including the new one, multiplied by the endpoint's
    /// slowdown against its target time; `None` if it accepts no work.
    fn endpoint(&self, endpoint: EndpointId) -> Option<f64>;
    /// Number of streams over a pair of zones (see [`Links::pair_index`]); `None` if the link
    /// accepts no more.
    fn link(&self, pair: usize) -> Option<f64>;
}

/// Factor on the cost of a stage that is likely to have the prompt's prefix in its cache.
const CACHED_COST_FACTOR: f64 = 0.5;
/// Weight of the one-way latency in the cost of a stage: each token pays it in both directions.
const LATENCY_WEIGHT: f64 = 2.0;

/// Selection over one graph.
pub struct Choice<'a, L> {
    /// Graph to select from.
    pub graph: &'a Graph,
    /// Links between zones.
    pub links: &'a Links,
    /// Availability zone of the router.
    pub zone: ZoneId,
    /// Current loads.
    pub load: &'a L,
    /// Number of stages drawn for each hop.
    pub draws: usize,
    /// Endpoints that are likely to have a part of the prompt in their cache.
    pub cached: &'a [EndpointId],
}

impl<L: Load> Choice<'_, L> {
    /// Draws a chain and returns its stage indexes; `None` if for some hop no drawn stage accepts
    /// work.
    pub fn draw(&self, rng: &mut impl Rng) -> Option<Vec<usize>> {
        let mut chain: Vec<usize> = Vec::new();
        let mut port = Graph::START;
        let mut zone = self.zone;
        loop {
            let best = self.best(port, zone, rng)?;
            let stage = &self.graph.stages[best];
            chain.push(best);
            if stage.to >= self.graph.layers {
                return Some(chain);
            }
            port = self.graph.port_after(stage);
            zone = stage.zone;
        }
    }

    fn best(&self, port: usize, zone: ZoneId, rng: &mut impl Rng) -> Option<usize> {
        let nexts = self.graph.successors(port);
        let drawn = (0..self.draws).filter_map(|_| draw(nexts, rng));
        let local = nexts.iter().filter(|_| !self.cached.is_empty());
        let local = local.filter(|n| self.cached.contains(&self.graph.stages[n.stage].endpoint));
        let costs = drawn.chain(local.map(|n| n.stage));
        let costs = costs.filter_map(|s| self.cost(zone, s).map(|c| (c, s)));
        costs.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, s)| s)
    }

    /// Returns the expected time per token in seconds at a stage reached from `zone`; `None` if the
    /// stage accepts no work.
    pub fn cost(&self, zone: ZoneId, stage: usize) -> Option<f64> {
        let row: &Stage = &self.graph.stages[stage];
        let flow = self.graph.flows[stage];
        let rate = if flow > 0.0 { flow } else { row.rate };
        let mut cost = self.load.endpoint(row.endpoint)? / rate;
        if self.cached.contains(&row.endpoint) {
            cost *= CACHED_COST_FACTOR;
        }
        // Only activations load a link. The first hop receives a token, which is negligible.
        let link = if row.from == 0 {
            0.0
        } else {
            self.link_cost(zone, row.zone)?
        };
        let latency = self.links.latency(self.zone, row.zone).as_secs_f64() * LATENCY_WEIGHT;
        Some(cost + link + latency)
    }

    fn link_cost(&self, from: ZoneId, to: ZoneId) -> Option<f64> {
        let streams = self.load.link(self.links.pair_index(from, to))?;
        Some((streams + 1.0) / self.links.rate(from, to))
    }
}

/// Draws one of `nexts` with a probability proportional to its flow.
fn draw(nexts: &[Successor], rng: &mut impl Rng) -> Option<usize> {
    let total = nexts.last()?.cumulative_flow;
    let at = rng.random::<f64>() * total;
    let index = nexts
        .partition_point(|n| n.cumulative_flow <= at)
        .min(nexts.len() - 1);
    Some(nexts[index].stage)
}
