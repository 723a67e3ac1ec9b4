//! Planner: builds, for each model, the layered graph of its endpoints with its maximum flow and
//! the flow through each stage.
//!
//! Endpoints with the same layers in the same availability zone form one edge of the network; its
//! flow is split by capacity, so that no endpoint idles beside a full one. Edges are filled nearest
//! first (same zone, same region, any), so that slow links carry only what nearer links can't. A
//! link's capacity is applied at each layer boundary separately. For a model with several
//! boundaries on one link, the result is therefore an upper bound and not exact.

use crate::view::View;
use bundle::Bundle;
use bundle::id::{EndpointId, Layer, ModelId, ZoneId};
use bundle::link::Link;
use std::collections::BTreeMap;
use std::time::Duration;

pub mod flow;
pub mod graph;

use graph::{Graph, Stage};

/// Returns the maximum throughput of `model` in tokens per second that the hardware in `bundle`
/// allows, over all nodes.
pub fn max_throughput(bundle: &Bundle, model: ModelId) -> f64 {
    let links = Links::new(bundle);
    Graph::new(bundle, &links, model, &stages(bundle, model, |_| true)).max_flow
}

/// Plans of all models and services.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Graph over all usable endpoints, by model.
    pub full: Vec<Graph>,
    /// Graph over the preferred subset of endpoints, by model; `None` for a model with few
    /// endpoints.
    pub subset: Vec<Option<Graph>>,
    /// Endpoints that serve a service, by service.
    pub services: Vec<Vec<EndpointId>>,
    /// Links between zones.
    pub links: Links,
}

impl Plan {
    /// Plans over the endpoints that `usable` accepts. A model with more than `max_stages` stages
    /// also gets a graph over a subset of about `max_stages` stages.
    pub fn new(
        view: &View,
        usable: impl Fn(EndpointId) -> bool,
        seed: u64,
        max_stages: usize,
    ) -> Self {
        let bundle = &*view.bundle;
        let links = Links::new(bundle);
        let mut plan = Self::default();
        for model in 0..bundle.models.len() as ModelId {
            let all = stages(bundle, model, &usable);
            plan.full.push(Graph::new(bundle, &links, model, &all));
            let near =
                (all.len() > max_stages).then(|| nearest_stages(view, &all, seed, max_stages));
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
    /// Returns whether some model or service can't be served.
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

/// Returns the stages of `model` on usable endpoints, in the order of endpoints.
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

/// Returns the nearest stages of each range of layers, about `max_stages` in total. Equally near
/// stages are ordered by a hash with the router's seed, so that routers prefer different ones.
fn nearest_stages(view: &View, all: &[Stage], seed: u64, max_stages: usize) -> Vec<Stage> {
    let mut ranges: BTreeMap<(Layer, Layer), Vec<Stage>> = BTreeMap::new();
    for stage in all {
        ranges
            .entry((stage.from, stage.to))
            .or_default()
            .push(*stage);
    }
    let mut near = Vec::new();
    for mut range in ranges.into_values() {
        let keep = (range.len() * max_stages)
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

/// Minimum number of stages that a subset keeps of each range of layers.
const MIN_STAGES_PER_RANGE: usize = 4;

/// Returns the distance of two zones: 0 within a zone, 1 within a region, 2 otherwise.
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

/// Links by pair of zones. A pair that the bundle does not list is unbounded and has no latency.
#[derive(Clone, Debug, Default)]
pub struct Links {
    zones: usize,
    latency: Vec<Duration>,
    rate: Vec<f64>,
}

impl Links {
    /// Reads the links of `bundle`.
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

    /// Returns the index of a pair of zones.
    pub fn pair_index(&self, a: ZoneId, b: ZoneId) -> usize {
        a as usize * self.zones + b as usize
    }

    /// Returns the number of pairs.
    pub fn pair_count(&self) -> usize {
        self.zones * self.zones
    }

    /// Returns the one-way latency between two zones.
    pub fn latency(&self, a: ZoneId, b: ZoneId) -> Duration {
        self.latency
            .get(self.pair_index(a, b))
            .copied()
            .unwrap_or_default()
    }

    /// Returns the capacity between two zones, in activations of tokens per second.
    pub fn rate(&self, a: ZoneId, b: ZoneId) -> f64 {
        self.rate_at(self.pair_index(a, b))
    }

    /// Returns the capacity of a pair, in activations of tokens per second.
    pub fn rate_at(&self, pair: usize) -> f64 {
        self.rate.get(pair).copied().unwrap_or(flow::UNBOUNDED)
    }
}
