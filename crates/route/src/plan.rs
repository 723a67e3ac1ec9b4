//! Plans: for each model the layered graph of its endpoints, its maximum flow and flow shares.
//!
//! Endpoints with the same layers in the same availability zone are one edge of the network;
//! their flow is split by capacity, so that none of them idles beside a full one. Edges are
//! filled nearest first (same zone, same region, any), so that slow links carry only what the
//! near ones can't. A link's capacity is applied at each layer boundary by itself; a model with
//! several boundaries on one link is bounded from above by this, not exactly.

use crate::view::View;
use bundle::Bundle;
use bundle::id::{EndpointId, Layer, ModelId, ZoneId};
use bundle::link::Link;
use std::collections::BTreeMap;
use std::time::Duration;

pub mod flow;
pub mod graph;

use graph::{Graph, Stage};

/// The most tokens per second that the hardware of `bundle` allows `model`, over all nodes.
pub fn max_throughput(bundle: &Bundle, model: ModelId) -> f64 {
    let links = Links::new(bundle);
    Graph::new(bundle, &links, model, &stages(bundle, model, |_| true)).max_flow
}

/// The plans of all models and services.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// By model: the graph over all usable endpoints.
    pub full: Vec<Graph>,
    /// By model: the graph over the preferred subset, when there are many endpoints.
    pub subset: Vec<Option<Graph>>,
    /// By service: the endpoints that serve it.
    pub services: Vec<Vec<EndpointId>>,
    /// Links between zones.
    pub links: Links,
}

impl Plan {
    /// Plans over the endpoints that `usable` accepts.
    pub fn new(view: &View, usable: impl Fn(EndpointId) -> bool, seed: u64, most: usize) -> Self {
        let bundle = &*view.bundle;
        let links = Links::new(bundle);
        let mut plan = Self::default();
        for model in 0..bundle.models.len() as ModelId {
            let all = stages(bundle, model, &usable);
            plan.full.push(Graph::new(bundle, &links, model, &all));
            let near = (all.len() > most).then(|| nearest_stages(view, &all, seed, most));
            plan.subset
                .push(near.map(|near| Graph::new(bundle, &links, model, &near)));
        }
        plan.services = (0..bundle.services.len() as u16)
            .map(|s| {
                endpoint_ids(bundle)
                    .filter(|&e| usable(e) && serves(bundle, e, s))
                    .collect()
            })
            .collect();
        plan.links = links;
        plan
    }
}

impl Plan {
    /// Whether some model or service is not served.
    pub fn has_unserved(&self) -> bool {
        let model = self.full.iter().any(|g| g.max_flow <= 0.0);
        model || self.services.iter().any(Vec::is_empty)
    }
}

fn serves(bundle: &Bundle, endpoint: EndpointId, service: u16) -> bool {
    bundle.endpoints[endpoint as usize]
        .services
        .contains(&service)
}

fn endpoint_ids(bundle: &Bundle) -> impl Iterator<Item = EndpointId> + use<> {
    0..bundle.endpoints.len() as EndpointId
}

/// The usable parts of `model`, in the order of endpoints.
fn stages(bundle: &Bundle, model: ModelId, usable: impl Fn(EndpointId) -> bool) -> Vec<Stage> {
    let mut stages = Vec::new();
    for id in endpoint_ids(bundle).filter(|&e| usable(e)) {
        let row = &bundle.endpoints[id as usize];
        let Some(kind) = row.kind else { continue };
        let speed = bundle.kinds[kind as usize].layers_per_second;
        for span in row
            .spans
            .iter()
            .filter(|s| s.model == model && s.from < s.to)
        {
            stages.push(Stage {
                endpoint: id,
                zone: row.zone,
                from: span.from,
                to: span.to,
                rate: speed / f64::from(span.to - span.from),
                name_hash: xxhash_rust::xxh3::xxh3_64(row.name.as_bytes()),
            });
        }
    }
    stages
}

/// Of each range of layers the nearest stages, about `most` in all; among equally near ones by a
/// hash with the router's seed, so that routers take different ones.
fn nearest_stages(view: &View, all: &[Stage], seed: u64, most: usize) -> Vec<Stage> {
    let mut ranges: BTreeMap<(Layer, Layer), Vec<Stage>> = BTreeMap::new();
    for stage in all {
        ranges
            .entry((stage.from, stage.to))
            .or_default()
            .push(*stage);
    }
    let mut near = Vec::new();
    for mut range in ranges.into_values() {
        let keep = (range.len() * most)
            .div_ceil(all.len())
            .max(MIN_STAGES_PER_RANGE);
        range.sort_by_key(|s| {
            (
                distance(&view.bundle, view.zone, s.zone),
                subset_hash(seed, s),
            )
        });
        near.extend(range.into_iter().take(keep));
    }
    near
}

/// Stages of each range of layers that a subset keeps at least.
const MIN_STAGES_PER_RANGE: usize = 4;

/// 0 within a zone, 1 within a region, 2 beyond.
pub fn distance(bundle: &Bundle, a: ZoneId, b: ZoneId) -> u8 {
    let region = |z: ZoneId| bundle.zones.get(z as usize).map(|z| z.region.as_str());
    match (a == b, region(a) == region(b)) {
        (true, _) => 0,
        (false, true) => 1,
        (false, false) => 2,
    }
}

fn subset_hash(seed: u64, stage: &Stage) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(&stage.name_hash.to_le_bytes(), seed)
}

/// Links by pair of zones; a pair that the bundle does not name is unbounded and has no latency.
#[derive(Clone, Debug, Default)]
pub struct Links {
    zones: usize,
    latency: Vec<Duration>,
    rate: Vec<f64>,
}

impl Links {
    /// The links of `bundle`.
    pub fn new(bundle: &Bundle) -> Self {
        let zones = bundle.zones.len();
        let mut links = Self {
            zones,
            latency: vec![Duration::ZERO; zones * zones],
            rate: vec![flow::UNBOUNDED; zones * zones],
        };
        bundle.links.iter().for_each(|link| links.set(link));
        links
    }

    fn set(&mut self, link: &Link) {
        for at in [
            self.pair_index(link.a, link.b),
            self.pair_index(link.b, link.a),
        ] {
            self.latency[at] = link.latency;
            self.rate[at] = link.tokens_per_second;
        }
    }

    /// Index of a pair of zones.
    pub fn pair_index(&self, a: ZoneId, b: ZoneId) -> usize {
        a as usize * self.zones + b as usize
    }

    /// Number of pairs.
    pub fn pair_count(&self) -> usize {
        self.zones * self.zones
    }

    /// One-way latency.
    pub fn latency(&self, a: ZoneId, b: ZoneId) -> Duration {
        self.latency
            .get(self.pair_index(a, b))
            .copied()
            .unwrap_or_default()
    }

    /// Tokens' activations per second.
    pub fn rate(&self, a: ZoneId, b: ZoneId) -> f64 {
        self.rate_at(self.pair_index(a, b))
    }

    /// Tokens' activations per second over a pair.
    pub fn rate_at(&self, pair: usize) -> f64 {
        self.rate.get(pair).copied().unwrap_or(flow::UNBOUNDED)
    }
}
