//! The cheapest chain of endpoints over all layers.
//!
//! A shortest path over a layered graph: from layer 0 on, a stage runs from where the last one
//! ended up to some cut (a layer at which any endpoint begins or ends). The cost of a stage is
//! its time for the request, dearer the more of its memory or time is used; a hop to another availability zone
//! costs its delay and its part of the shared pipe. An endpoint runs at most one stage of a chain,
//! since engines refuse a chain that names one twice.

use crate::Timestamp;
use crate::chain::{MAX_FILL, MAX_FILL_URGENT, Need};
use crate::link::Links;
use crate::row::Row;
use crate::shortage::Shortage;
use catalog::Layer;
use catalog::endpoint::Span;
use catalog::engine::Engine;
use std::time::Duration;

/// Most stages of a chain that an engine takes.
const MAX_STAGES: usize = 32;
/// Cost of a stage by itself, in seconds of a request: each stage is one more endpoint whose loss
/// stalls the request.
const STAGE_COST_SECS: f64 = 0.004;
/// How often a request's own transfer counts between availability zones: all requests share a pipe.
const LINK_COST_FACTOR: f64 = 60.0;
/// By how much the price of an endpoint grows until its memory is full, as a multiple of its price
/// when empty. Even, since nodes see uses that are up to a second old: where the price grows
/// steeply, all leave an endpoint at once and come back at once.
const UTILIZATION_COST_SLOPE: f64 = 5.0;
/// How often the wait for a place at the first endpoint counts. The queue is that of half a second
/// ago and all nodes see it, so it is dear while it is short.
const QUEUE_COST_FACTOR: f64 = 10.0;
/// How busy an endpoint counts at the most, as a multiple of what it can do.
const MAX_LOAD_FACTOR: f64 = 3.0;
/// Part of an endpoint's memory past which its price does not grow.
const MAX_PRICED_UTILIZATION: f64 = 0.95;
/// Part of a pipe that is used at the most. Past it every request on the pipe is late.
const MAX_LINK_UTILIZATION: f64 = 0.75;

/// A stage: an index into the rows, and its layers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Segment {
    pub(crate) row: usize,
    pub(crate) span: Span,
}

/// An endpoint that a stage may run on.
#[derive(Clone, Copy)]
pub(crate) struct Candidate<'a> {
    /// Its index in the table.
    pub(crate) index: usize,
    pub(crate) row: &'a Row,
    /// Its room in use by all nodes.
    pub(crate) used: f64,
    /// Factor on its price.
    pub(crate) price_factor: f64,
    /// Seconds of reading that stand before this request, as far as they are placed in thought.
    pub(crate) backlog_secs: f64,
}

/// Zones of the stages that stay on both sides of a stage which is replaced; none where the chain
/// begins or neighbors. A replaced stage in another zone costs two hops, over which all tokens so far go
/// at once.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Neighbors {
    pub(crate) before: Option<usize>,
    pub(crate) after: Option<usize>,
}

/// Costs of hops by the numbers of both zones; nothing where the pipe can't take one more.
struct Hops {
    zones: usize,
    costs: Vec<Option<f64>>,
}

impl Hops {
    /// Where a chain begins or ends there is no hop.
    fn cost(&self, from: Option<usize>, to: Option<usize>) -> Option<f64> {
        let (Some(from), Some(to)) = (from, to) else {
            return Some(0.0);
        };
        self.costs[from * self.zones + to]
    }
}

/// What a search looks at.
pub(crate) struct Search<'a> {
    pub(crate) engine: &'a Engine,
    /// The layers to run; all of them, or those of a stage that is replaced.
    pub(crate) span: Span,
    /// Candidates: indexes into the table, open and not tried; with the factor on their price.
    pub(crate) rows: &'a [Candidate<'a>],
    /// Availability zones by number.
    pub(crate) zones: &'a [String],
    /// What stays of the chain around the layers.
    pub(crate) neighbors: Neighbors,
    /// Nodes that send requests as this one does.
    pub(crate) nodes: f64,
    /// What this node sends between zones.
    pub(crate) links: &'a Links,
    /// How long requests stay on their chains.
    pub(crate) residence: Duration,
    pub(crate) now: Timestamp,
}

/// A cut and an availability zone, by number: where a way through the layers stands.
type Vertex = (usize, usize);

/// The cheapest way to have run all layers before a cut, with the last stage in one zone.
#[derive(Clone, Copy, Debug)]
struct Path {
    cost: f64,
    segment: Segment,
    /// Where the way stood before this stage.
    previous: Option<Vertex>,
}

impl Search<'_> {
    /// The cheapest chain.
    pub(crate) fn cheapest_chain(&self, need: &Need) -> Result<Vec<Segment>, Shortage> {
        debug_assert!(self.rows.iter().all(|c| c.row.is_available(self.now)));
        let cuts = self.cuts();
        if !self.is_covered(&cuts) {
            return Err(Shortage::Layers);
        }
        let max_fill = if need.urgent {
            MAX_FILL_URGENT
        } else {
            MAX_FILL
        };
        let size = need.tokens();
        let fits = |l: Layer| self.max_capacity(l) * MAX_FILL_URGENT >= size;
        if !(self.span.from..self.span.to).all(fits) {
            return Err(Shortage::Size);
        }
        let hops = self.hop_costs(need);
        let prices: Vec<f64> = self
            .rows
            .iter()
            .map(|c| self.price_per_layer(c, need))
            .collect();
        let mut best: Vec<Option<Path>> = vec![None; cuts.len() * self.zones.len()];
        let mut reached: Vec<bool> = vec![false; cuts.len()];
        reached[0] = true;
        for at in 0..cuts.len() - 1 {
            if !reached[at] {
                continue;
            }
            for (candidate, price) in self.rows.iter().zip(&prices) {
                let &Candidate {
                    index,
                    row,
                    used,
                    backlog_secs,
                    ..
                } = candidate;
                let span = row.endpoint.span;
                if !span.contains(cuts[at]) {
                    continue;
                }
                let Some((start, previous)) = self.best_entry(&best, &hops, at, row, index) else {
                    continue;
                };
                let free = row.capacity * max_fill - used;
                for to in at + 1..cuts.len() {
                    if cuts[to] > span.to.min(self.span.to) {
                        break;
                    }
                    let layers = cuts[to] - cuts[at];
                    if size * f64::from(layers) > free {
                        break;
                    }
                    let cost = start + STAGE_COST_SECS + backlog_secs + price * f64::from(layers);
                    let slot = &mut best[self.slot((to, row.zone))];
                    if slot.is_none_or(|b| cost < b.cost) {
                        let span = Span {
                            from: cuts[at],
                            to: cuts[to],
                        };
                        *slot = Some(Path {
                            cost,
                            segment: Segment { row: index, span },
                            previous,
                        });
                        reached[to] = true;
                    }
                }
            }
        }
        let end = cuts.len() - 1;
        self.backtrack(&best, &hops, end).ok_or(Shortage::Capacity)
    }

    /// Where the best way to a place is kept.
    fn slot(&self, (at, zone): Vertex) -> usize {
        at * self.zones.len() + zone
    }

    /// Layers at which a stage may begin or end.
    fn cuts(&self) -> Vec<Layer> {
        let spans = self.rows.iter().map(|c| c.row.endpoint.span);
        let mut cuts: Vec<Layer> = spans.flat_map(|s| [s.from, s.to]).collect();
        cuts.extend([self.span.from, self.span.to]);
        cuts.retain(|&c| self.span.from <= c && c <= self.span.to);
        cuts.sort_unstable();
        cuts.dedup();
        cuts
    }

    fn is_covered(&self, cuts: &[Layer]) -> bool {
        let mut cuts = cuts.iter().filter(|&&c| c < self.span.to);
        cuts.all(|&c| self.rows.iter().any(|r| r.row.endpoint.span.contains(c)))
    }

    /// Most tokens that any endpoint could hold of a request if it ran just this layer, empty.
    fn max_capacity(&self, layer: Layer) -> f64 {
        let rows = self.rows.iter().map(|c| c.row);
        let rows = rows.filter(|r| r.endpoint.span.contains(layer));
        rows.map(|r| r.capacity).fold(0.0, f64::max)
    }

    /// Cost before a stage on `row` that begins at cut `at`, and the way there.
    fn best_entry(
        &self,
        best: &[Option<Path>],
        hops: &Hops,
        at: usize,
        row: &Row,
        index: usize,
    ) -> Option<(f64, Option<Vertex>)> {
        if at == 0 {
            let hop = hops.cost(self.neighbors.before, Some(row.zone))?;
            return Some((hop + self.queue_cost(row), None));
        }
        let mut found: Option<(f64, Option<Vertex>)> = None;
        for zone in 0..self.zones.len() {
            let Some(before) = best[self.slot((at, zone))] else {
                continue;
            };
            let Some(hop) = hops.cost(Some(zone), Some(row.zone)) else {
                continue;
            };
            let cost = before.cost + hop;
            let cheaper = found.is_none_or(|(c, _)| cost < c);
            if cheaper && !self.path_uses(best, (at, zone), index) {
                found = Some((cost, Some((at, zone))));
            }
        }
        found
    }

    /// Price of the wait before a chain begins at this row. An endpoint begins a bounded number of
    /// chains at once, whatever memory it has; those beyond wait, and their callers with them.
    fn queue_cost(&self, row: &Row) -> f64 {
        let slots = f64::from(row.endpoint.slots.max(1));
        let queued = row.load.map_or(0, |l| l.queued(self.now));
        match self.span.from {
            0 => QUEUE_COST_FACTOR * f64::from(queued) * self.residence.as_secs_f64() / slots,
            // The endpoints of a detour are not the first of their chain.
            _ => 0.0,
        }
    }

    /// Whether the way to a state has a stage on this row.
    fn path_uses(&self, best: &[Option<Path>], mut state: Vertex, row: usize) -> bool {
        while let Some(before) = best[self.slot(state)] {
            if before.segment.row == row {
                return true;
            }
            match before.previous {
                Some(from) => state = from,
                None => return false,
            }
        }
        false
    }

    /// What hops between all zones cost this request.
    fn hop_costs(&self, need: &Need) -> Hops {
        let zones = self.zones.len();
        let pairs = (0..zones).flat_map(|from| (0..zones).map(move |to| (from, to)));
        let costs = pairs
            .map(|(from, to)| self.hop_cost(from, to, need))
            .collect();
        Hops { zones, costs }
    }

    /// Time that a hop costs a request; nothing if the pipe can't take it.
    fn hop_cost(&self, from: usize, to: usize, need: &Need) -> Option<f64> {
        if from == to {
            return Some(0.0);
        }
        let delay = self.engine.delay(&self.zones[from], &self.zones[to]);
        let capacity = self.engine.inter_zone_bps.max(1.0);
        let transfer = bits(self.engine, need) / capacity;
        let used = self.links.rate(self.now, from, to) * self.nodes / capacity;
        if used > MAX_LINK_UTILIZATION {
            return None;
        }
        // A token waits for the one before it, so each token pays the delay. The pipe is shared
        // by all requests, so a request's part of it counts several times its own transfer.
        Some(
            delay.as_secs_f64() * f64::from(need.size.answer)
                + LINK_COST_FACTOR * transfer / (1.0 - used),
        )
    }

    /// Time that a request spends at each layer of a stage, dearer the fuller its memory is.
    fn price_per_layer(&self, candidate: &Candidate<'_>, need: &Need) -> f64 {
        let &Candidate { row, used, .. } = candidate;
        let layer_fraction = self.engine.model_fraction(1);
        // Requests under way there, by the room that one of this size would take.
        let per_request = f64::from(row.endpoint.span.len()) * need.tokens();
        let in_flight = used / per_request.max(1.0);
        let request_time = self.engine.step_time_per_request.as_secs_f64()
            + self.engine.step_time_per_1k_context.as_secs_f64() * need.tokens() / 1000.0;
        let batch_factor =
            1.0 + in_flight * request_time / self.engine.step_time.as_secs_f64().max(1e-9);
        let decode = row.step_secs * batch_factor * f64::from(need.size.answer);
        let prefill = row.prefill_secs * f64::from(need.size.prompt);
        let utilization = (used / row.capacity.max(1.0)).clamp(0.0, MAX_PRICED_UTILIZATION);
        let load = (in_flight * row.slowdown / row.saturation.max(1.0)).min(MAX_LOAD_FACTOR);
        (decode + prefill)
            * layer_fraction
            * row.slowdown
            * (1.0 + UTILIZATION_COST_SLOPE * utilization.max(load))
            * candidate.price_factor
    }

    fn backtrack(&self, best: &[Option<Path>], hops: &Hops, end: usize) -> Option<Vec<Segment>> {
        let last = (0..self.zones.len()).filter_map(|zone| {
            let last = best[self.slot((end, zone))]?;
            let cost = last.cost + hops.cost(Some(zone), self.neighbors.after)?;
            Some(Path { cost, ..last })
        });
        let last = last.min_by(|a, b| a.cost.total_cmp(&b.cost))?;
        let mut segments = vec![last.segment];
        let mut previous = last.previous;
        while let Some((at, zone)) = previous {
            let before = best[self.slot((at, zone))]?;
            segments.push(before.segment);
            previous = before.previous;
        }
        segments.reverse();
        (segments.len() <= MAX_STAGES).then_some(segments)
    }
}

/// Takes `tokens` tokens as under way on a chain, for the next search.
pub(crate) fn add_load(rows: &mut [Candidate<'_>], chain: &[Segment], tokens: f64) {
    for (candidate, segment) in candidates_on(rows, chain) {
        candidate.used += tokens * f64::from(segment.span.len());
    }
}

/// Takes `tokens` tokens as being read anew on a chain, for the next search: they take room there
/// and time before whatever comes later.
pub(crate) fn add_prefill(
    engine: &Engine,
    rows: &mut [Candidate<'_>],
    chain: &[Segment],
    tokens: f64,
) {
    add_load(rows, chain, tokens);
    for (candidate, segment) in candidates_on(rows, chain) {
        let row = candidate.row;
        candidate.backlog_secs +=
            row.prefill_secs * row.slowdown * tokens * engine.model_fraction(segment.span.len());
    }
}

/// The candidates that a chain runs on, each with its part; a chain has no endpoint twice.
fn candidates_on<'r, 'a>(
    rows: &'r mut [Candidate<'a>],
    chain: &'r [Segment],
) -> impl Iterator<Item = (&'r mut Candidate<'a>, &'r Segment)> {
    let segment = |c: &Candidate<'_>| chain.iter().find(|s| s.row == c.index);
    rows.iter_mut()
        .filter_map(move |c| segment(c).map(|s| (c, s)))
}

/// Bits that a request sends over one hop.
pub(crate) fn bits(engine: &Engine, need: &Need) -> f64 {
    need.tokens() * engine.activation_bytes * 8.0
}
