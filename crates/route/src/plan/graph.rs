//! Layered graph of one model.

use super::flow::{Edge, Network, UNBOUNDED};
use super::{Links, distance};
use bundle::Bundle;
use bundle::id::{EndpointId, Layer, ModelId, ZoneId};
use std::collections::BTreeMap;

/// Contiguous layers of a model on one endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stage {
    /// Endpoint that holds the layers.
    pub endpoint: EndpointId,
    /// Availability zone of the endpoint.
    pub zone: ZoneId,
    /// First layer.
    pub from: Layer,
    /// One past the last layer.
    pub to: Layer,
    /// Throughput of these layers in tokens per second.
    pub rate: f64,
    /// Hash of the endpoint's name, equal on all nodes.
    pub name_hash: u64,
}

/// Stage that a chain can continue with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Successor {
    /// Index in [`Graph::stages`].
    pub stage: usize,
    /// Cumulative flow: from the port to this stage and to all stages before it in the list, in
    /// tokens per second.
    pub cumulative_flow: f64,
}

/// Position of a chain between two stages: a layer boundary in a zone, or [`Graph::START`] before
/// the first stage.
pub type Port = usize;

/// Stages of a model and the flow between them.
#[derive(Clone, Debug, Default)]
pub struct Graph {
    /// Number of layers of the model.
    pub layers: Layer,
    /// Maximum flow in tokens per second.
    pub max_flow: f64,
    /// Stages, sorted by first layer.
    pub stages: Vec<Stage>,
    /// Flow through a stage in tokens per second, by stage.
    pub flows: Vec<f64>,
    /// Layers at which some stage starts or ends, and both ends of the model, in ascending order.
    layer_boundaries: Vec<Layer>,
    zones: usize,
    successors: Vec<Vec<Successor>>,
}

impl Graph {
    /// Port before the first layer.
    pub const START: Port = 0;

    /// Builds the graph of `stages`. If no chain of whole stages covers the model, stages may be
    /// entered at an inner layer.
    pub fn new(bundle: &Bundle, links: &Links, model: ModelId, stages: &[Stage]) -> Self {
        let layers = bundle.models[model as usize].layers;
        let graph = Self::solve(bundle, links, layers, stages.to_vec());
        if graph.max_flow > 0.0 || stages.is_empty() {
            return graph;
        }
        Self::solve(bundle, links, layers, with_inner_entries(stages))
    }

    fn solve(bundle: &Bundle, links: &Links, layers: Layer, mut stages: Vec<Stage>) -> Self {
        stages.sort_by_key(|s| (s.from, s.to, s.zone, s.endpoint));
        let mut graph = Self {
            layers,
            stages,
            zones: bundle.zones.len(),
            ..Self::default()
        };
        graph.layer_boundaries = graph.find_boundaries();
        let mut build = Builder::new(&graph);
        build.add_groups(&graph);
        for reach in 0..=2 {
            build.add_links(&graph, bundle, links, reach);
            graph.max_flow += build.net.augment(build.source, build.sink);
        }
        build.assign_flows(&mut graph);
        graph
    }

    /// Returns the port after `stage`.
    pub fn port_after(&self, stage: &Stage) -> Port {
        let boundary = self.layer_boundaries.partition_point(|&c| c < stage.to);
        1 + boundary * self.zones + stage.zone as usize
    }

    /// Returns the stages that can follow a port, with their flow.
    pub fn successors(&self, port: Port) -> &[Successor] {
        self.successors.get(port).map_or(&[], Vec::as_slice)
    }

    /// Returns the number of ports.
    pub fn port_count(&self) -> usize {
        1 + self.layer_boundaries.len() * self.zones
    }

    /// Returns the stages that start at `layer`, as a range of indexes.
    pub fn stages_from(&self, layer: Layer) -> std::ops::Range<usize> {
        let first = self.stages.partition_point(|s| s.from < layer);
        first..self.stages.partition_point(|s| s.from <= layer)
    }

    /// Returns the ports at the boundary `layer`, with their zones.
    pub fn ports_at(&self, layer: Layer) -> impl Iterator<Item = (Port, ZoneId)> + use<> {
        let first = 1 + self.layer_boundaries.partition_point(|&c| c < layer) * self.zones;
        (0..self.zones).map(move |z| (first + z, z as ZoneId))
    }

    /// Returns the layer boundaries in ascending order.
    pub fn layer_boundaries(&self) -> &[Layer] {
        &self.layer_boundaries
    }

    fn find_boundaries(&self) -> Vec<Layer> {
        let mut boundaries: Vec<_> = self.stages.iter().flat_map(|s| [s.from, s.to]).collect();
        boundaries.extend([0, self.layers]);
        boundaries.sort_unstable();
        boundaries.dedup();
        boundaries
    }
}

/// Returns `stages` and, for each end of another stage that lies inside of one, the remainder of
/// that stage from there.
fn with_inner_entries(stages: &[Stage]) -> Vec<Stage> {
    let mut ends: Vec<_> = stages.iter().map(|s| s.to).collect();
    ends.sort_unstable();
    ends.dedup();
    let mut all = stages.to_vec();
    for stage in stages {
        let inside = ends.iter().filter(|&&e| stage.from < e && e < stage.to);
        all.extend(inside.map(|&from| {
            let layers = f64::from(stage.to - stage.from) / f64::from(stage.to - from);
            Stage {
                from,
                rate: stage.rate * layers,
                ..*stage
            }
        }));
    }
    all
}

/// Stages with the same layers in the same zone, which form one edge.
struct Group {
    stages: std::ops::Range<usize>,
    rate: f64,
    edge: Edge,
}

/// Network under construction. Each port consists of two nodes: one for activations produced by the
/// stages of a zone, one for activations to be consumed by the stages of a zone.
struct Builder {
    net: Network,
    source: usize,
    sink: usize,
    groups: Vec<Group>,
    link_edges: BTreeMap<(Port, ZoneId), Edge>,
}

impl Builder {
    fn new(graph: &Graph) -> Self {
        let ports = graph.port_count();
        let mut net = Network::new(2 * ports + 1);
        let sink = 2 * ports;
        let last = graph
            .layer_boundaries
            .partition_point(|&c| c < graph.layers);
        for zone in 0..graph.zones {
            net.add_edge(0, ports + 1 + zone, UNBOUNDED);
            net.add_edge(1 + last * graph.zones + zone, sink, UNBOUNDED);
        }
        Self {
            net,
            source: 0,
            sink,
            groups: Vec::new(),
            link_edges: BTreeMap::new(),
        }
    }

    fn add_groups(&mut self, graph: &Graph) {
        let key = |s: &Stage| (s.from, s.to, s.zone);
        let mut first = 0;
        for chunk in graph.stages.chunk_by(|a, b| key(a) == key(b)) {
            let rate = chunk.iter().map(|s| s.rate).sum();
            let edge =
                self.net
                    .add_edge(intake(graph, &chunk[0]), graph.port_after(&chunk[0]), rate);
            let stages = first..first + chunk.len();
            first = stages.end;
            self.groups.push(Group { stages, rate, edge });
        }
    }

    /// Adds the links between zones at distance `reach`, at each inner boundary.
    fn add_links(&mut self, graph: &Graph, bundle: &Bundle, links: &Links, reach: u8) {
        for boundary in 1..graph.layer_boundaries.len().saturating_sub(1) {
            for a in 0..graph.zones {
                for b in 0..graph.zones {
                    let (from, to) = (a as ZoneId, b as ZoneId);
                    if distance(bundle, from, to) != reach {
                        continue;
                    }
                    let port = 1 + boundary * graph.zones + a;
                    let intake = graph.port_count() + 1 + boundary * graph.zones + b;
                    let edge = self.net.add_edge(port, intake, links.rate(from, to));
                    self.link_edges.insert((port, to), edge);
                }
            }
        }
    }

    /// Splits the flow of each group among its stages by rate and records the flow from each port
    /// to its successors.
    fn assign_flows(&self, graph: &mut Graph) {
        graph.flows = vec![0.0; graph.stages.len()];
        graph.successors = vec![Vec::new(); graph.port_count()];
        let mut arriving: BTreeMap<usize, f64> = BTreeMap::new();
        for group in &self.groups {
            let intake = intake(graph, &graph.stages[group.stages.start]);
            *arriving.entry(intake).or_default() += self.net.flow(group.edge);
        }
        for group in &self.groups {
            let group_flow = self.net.flow(group.edge);
            let first_stage = graph.stages[group.stages.start];
            let total = arriving[&intake(graph, &first_stage)];
            for at in group.stages.clone() {
                graph.flows[at] = group_flow * graph.stages[at].rate / group.rate;
            }
            if group_flow <= 0.0 || total <= 0.0 {
                continue;
            }
            self.assign_group_flow(graph, group, first_stage, total);
        }
    }

    fn assign_group_flow(&self, graph: &mut Graph, group: &Group, first_stage: Stage, total: f64) {
        if first_stage.from == 0 {
            for stage in group.stages.clone() {
                let flow = graph.flows[stage];
                append(&mut graph.successors[Graph::START], stage, flow);
            }
            return;
        }
        let boundary = graph
            .layer_boundaries
            .partition_point(|&c| c < first_stage.from);
        for zone in 0..graph.zones {
            let port = 1 + boundary * graph.zones + zone;
            let Some(&edge) = self.link_edges.get(&(port, first_stage.zone)) else {
                continue;
            };
            let link = self.net.flow(edge);
            for stage in group.stages.clone() {
                let flow = link * graph.flows[stage] / total;
                append(&mut graph.successors[port], stage, flow);
            }
        }
    }
}

fn append(nexts: &mut Vec<Successor>, stage: usize, flow: f64) {
    if flow > 0.0 {
        let sum = nexts.last().map_or(0.0, |n| n.cumulative_flow) + flow;
        nexts.push(Successor {
            stage,
            cumulative_flow: sum,
        });
    }
}

/// Returns the node from which a stage like `stage` consumes activations.
fn intake(graph: &Graph, stage: &Stage) -> usize {
    let boundary = graph.layer_boundaries.partition_point(|&c| c < stage.from);
    graph.port_count() + 1 + boundary * graph.zones + stage.zone as usize
}
