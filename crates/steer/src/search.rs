//! Search for the cheapest chain of endpoints over all layers.
//!
//! This is a shortest path over a layered graph. Starting at layer 0, a stage runs from the end of
//! the previous one to a cut, a layer at which some endpoint's span begins or ends. A stage costs
//! its time for the request, scaled up with the utilization of the endpoint's memory and compute
//! time. A hop to another availability zone costs its delay and its share of the inter-zone link.
//! An endpoint runs at most one stage of a chain, since engines refuse a chain that contains an
//! endpoint twice.

use crate::Timestamp;
use crate::chain::{MAX_FILL, MAX_FILL_URGENT, Need};
use crate::evacuation::queues::Queues;
use crate::link::Links;
use crate::prefill::pricing::{PrefillPrice, Pricing};
use crate::queue::reserve::Reserve;
use crate::row::Row;
use crate::shortage::Shortage;
use catalog::Layer;
use catalog::endpoint::Span;
use catalog::engine::Engine;
use std::time::Duration;

/// Maximum number of stages of a chain that engines accept.
const MAX_STAGES: usize = 32;
/// Fixed cost of a stage, in seconds per request: each stage adds an endpoint whose loss stalls the
/// request.
const STAGE_COST_SECS: f64 = 0.004;
/// Factor on a request's own transfer time between availability zones, since all requests share the
/// link.
const LINK_COST_FACTOR: f64 = 60.0;
/// Growth of the price of an endpoint from empty to full, as a multiple of its price when empty.
/// The growth is linear, since the known utilization is up to a second old: with a steep increase,
/// all nodes would leave an endpoint and return to it at the same time.
const UTILIZATION_COST_SLOPE: f64 = 5.0;
/// Factor on the wait for a slot at the head of a chain. The known queue is half a second old and
/// all nodes see the same one, so even a short queue must cost much.
const QUEUE_COST_FACTOR: f64 = 10.0;
/// Maximum work of an endpoint that is priced, as a multiple of the work at which it is saturated.
const MAX_LOAD_FACTOR: f64 = 3.0;
/// Memory utilization above which an endpoint's price does not increase further.
const MAX_PRICED_UTILIZATION: f64 = 0.95;
/// Maximum utilization of an inter-zone link; above it, every request on the link is delayed.
const MAX_LINK_UTILIZATION: f64 = 0.75;

/// Stage of a chain: the index of a row and the layers that it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Segment {
    pub(crate) row: usize,
    pub(crate) span: Span,
}

/// Endpoint that a stage may run on.
#[derive(Clone, Copy)]
pub(crate) struct Candidate<'a> {
    /// Index in the selector's table.
    pub(crate) index: usize,
    pub(crate) row: &'a Row,
    /// Capacity in use by all nodes, in token-layers.
    pub(crate) used: f64,
    /// Random factor on the price.
    pub(crate) price_factor: f64,
    /// Seconds of simulated prefill that precede this request.
    pub(crate) backlog_secs: f64,
    /// Seconds of prefill that this node has in progress there.
    pub(crate) prefill_secs: f64,
}

/// Zones of the stages before and after a stage that is replaced; `None` where the chain begins or
/// ends. A replacement in another zone costs two hops, and all tokens so far cross each of them at
/// once.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Neighbors {
    pub(crate) before: Option<usize>,
    pub(crate) after: Option<usize>,
}

/// Costs of hops by the indexes of both zones; `None` where the link has no capacity left.
struct Hops {
    zones: usize,
    costs: Vec<Option<f64>>,
}

impl Hops {
    /// Returns the cost of a hop; it is 0 at the beginning and the end of a chain.
    fn cost(&self, from: Option<usize>, to: Option<usize>) -> Option<f64> {
        let (Some(from), Some(to)) = (from, to) else {
            return Some(0.0);
        };
        self.costs[from * self.zones + to]
    }
}

/// Inputs of a search.
pub(crate) struct Search<'a> {
    pub(crate) engine: &'a Engine,
    /// Layers to run: all layers, or those of a replaced stage.
    pub(crate) span: Span,
    /// Available endpoints that the request was not sent to yet.
    pub(crate) candidates: &'a [Candidate<'a>],
    /// Names of the availability zones, by index.
    pub(crate) zones: &'a [String],
    /// Stages around the replaced stage, if any.
    pub(crate) neighbors: Neighbors,
    /// Number of nodes that send requests as this one does.
    pub(crate) nodes: f64,
    /// Traffic of this node between zones.
    pub(crate) links: &'a Links,
    /// Transfers of moving responses, for a search for one of them.
    pub(crate) queues: Option<&'a Queues>,
    /// Capacity that is kept for urgent requests beyond the fixed part, if any.
    pub(crate) reserve: Option<&'a Reserve>,
    /// Mean residence time of requests.
    pub(crate) residence: Duration,
    /// Pricing of prefill in progress; `None` if it has no price.
    pub(crate) prefill: Option<Pricing>,
    pub(crate) now: Timestamp,
}

/// What one candidate offers to a request.
struct Terms {
    /// Price of a layer.
    price: f64,
    prefill: PrefillPrice,
    /// Capacity that the request may take, in token-layers.
    free: f64,
}

/// Vertex of the graph: the indexes of a cut and of the availability zone of the stage that ends
/// there.
type Vertex = (usize, usize);

/// Cheapest path that runs all layers before a cut, with its last stage in one zone.
#[derive(Clone, Copy, Debug)]
struct Path {
    cost: f64,
    segment: Segment,
    /// Vertex at which the last stage begins; `None` at the beginning of the chain.
    previous: Option<Vertex>,
}

impl Search<'_> {
    /// Returns the cheapest chain for a request.
    ///
    /// # Errors
    ///
    /// Returns [`Shortage::Layers`] if the candidates do not hold all layers, [`Shortage::Size`] if
    /// the request does not fit even into empty endpoints, and [`Shortage::Capacity`] if no chain
    /// has enough free capacity.
    pub(crate) fn cheapest_chain(&self, need: &Need) -> Result<Vec<Segment>, Shortage> {
        debug_assert!(self.candidates.iter().all(|c| c.row.is_available(self.now)));
        let cuts = self.cuts();
        if self.span.is_empty() || !self.is_covered(&cuts) {
            return Err(Shortage::Layers);
        }
        let max_fill = |span: Span| match self.reserve {
            _ if need.urgent => MAX_FILL_URGENT,
            Some(reserve) => reserve.max_fill(span),
            None => MAX_FILL,
        };
        let size = need.tokens();
        let fits = |l: Layer| self.max_capacity(l) * MAX_FILL_URGENT >= size;
        if !(self.span.from..self.span.to).all(fits) {
            return Err(Shortage::Size);
        }
        let hops = self.hop_costs(need);
        let terms = self.candidates.iter().map(|c| Terms {
            price: self.price_per_layer(c, need),
            prefill: self.prefill_price(c),
            free: c.row.capacity * max_fill(c.row.endpoint.span) - c.used,
        });
        let terms: Vec<Terms> = terms.collect();
        let mut best: Vec<Option<Path>> = vec![None; cuts.len() * self.zones.len()];
        let mut reached: Vec<bool> = vec![false; cuts.len()];
        reached[0] = true;
        for at in 0..cuts.len() - 1 {
            if !reached[at] {
                continue;
            }
            for (candidate, terms) in self.candidates.iter().zip(&terms) {
                let &Candidate {
                    index,
                    row,
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
                for to in at + 1..cuts.len() {
                    if cuts[to] > span.to.min(self.span.to) {
                        break;
                    }
                    let layers = f64::from(cuts[to] - cuts[at]);
                    if size * layers > terms.free {
                        break;
                    }
                    let cost = start + STAGE_COST_SECS + backlog_secs + terms.price * layers;
                    let cost = cost + terms.prefill.of(layers);
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

    /// Returns the index of the best path to a vertex.
    fn slot(&self, (at, zone): Vertex) -> usize {
        at * self.zones.len() + zone
    }

    /// Returns the layers at which a stage may begin or end, in ascending order.
    fn cuts(&self) -> Vec<Layer> {
        let spans = self.candidates.iter().map(|c| c.row.endpoint.span);
        let mut cuts: Vec<Layer> = spans.flat_map(|s| [s.from, s.to]).collect();
        cuts.extend([self.span.from, self.span.to]);
        cuts.retain(|&c| self.span.from <= c && c <= self.span.to);
        cuts.sort_unstable();
        cuts.dedup();
        cuts
    }

    fn is_covered(&self, cuts: &[Layer]) -> bool {
        let mut cuts = cuts.iter().filter(|&&c| c < self.span.to);
        cuts.all(|&c| {
            self.candidates
                .iter()
                .any(|r| r.row.endpoint.span.contains(c))
        })
    }

    /// Returns the maximum number of tokens of a request that an empty endpoint can hold if it runs
    /// only this layer.
    fn max_capacity(&self, layer: Layer) -> f64 {
        let rows = self.candidates.iter().map(|c| c.row);
        let rows = rows.filter(|r| r.endpoint.span.contains(layer));
        rows.map(|r| r.capacity).fold(0.0, f64::max)
    }

    /// Returns the cost before a stage on `row` that begins at cut `at`, and the vertex that it
    /// continues from.
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

    /// Returns the cost of the wait before a chain begins at this row. An endpoint begins a limited
    /// number of chains at once, whatever its memory; further requests wait, and so do their
    /// callers.
    fn queue_cost(&self, row: &Row) -> f64 {
        let slots = f64::from(row.endpoint.slots.max(1));
        let queued = row.load.map_or(0, |l| l.queued(self.now));
        match self.span.from {
            0 => QUEUE_COST_FACTOR * f64::from(queued) * self.residence.as_secs_f64() / slots,
            // The search starts behind the head of a chain when it replaces a stage.
            _ => 0.0,
        }
    }

    /// Returns whether the best path to a vertex has a stage on this row.
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

    /// Returns the costs of this request for hops between all pairs of zones.
    fn hop_costs(&self, need: &Need) -> Hops {
        let zones = self.zones.len();
        let pairs = (0..zones).flat_map(|from| (0..zones).map(move |to| (from, to)));
        let costs = pairs
            .map(|(from, to)| self.hop_cost(from, to, need))
            .collect();
        Hops { zones, costs }
    }

    /// Returns the cost of a hop, in seconds; `None` if the link has no capacity left.
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
        let queued = match self.queues {
            Some(queues) if !queues.carries(from, to, transfer) => return None,
            Some(queues) => queues.link(from, to),
            None => 0.0,
        };
        // Each token waits for the previous one, so each pays the delay. All requests share the
        // link, so the request's own transfer time is weighted with a factor.
        Some(
            delay.as_secs_f64() * f64::from(need.size.answer)
                + LINK_COST_FACTOR * transfer / (1.0 - used)
                + queued,
        )
    }

    /// Returns the time that a request spends at each layer of a stage, scaled up with the
    /// utilization of the endpoint.
    fn price_per_layer(&self, candidate: &Candidate<'_>, need: &Need) -> f64 {
        let &Candidate { row, used, .. } = candidate;
        let layer_fraction = self.engine.model_fraction(1);
        // Number of requests in flight, estimated by the capacity that a request of this size would
        // take.
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

    /// Returns the price of prefill in progress at an endpoint, and of the delay that the request's
    /// own prefill causes there.
    fn prefill_price(&self, candidate: &Candidate<'_>) -> PrefillPrice {
        let &Candidate {
            row,
            used,
            prefill_secs,
            ..
        } = candidate;
        let pricing = self.prefill.as_ref();
        pricing.map_or(PrefillPrice::default(), |p| {
            p.price(row, used, prefill_secs)
        })
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

/// Adds `tokens` tokens in flight to the endpoints of a chain, for the next search.
pub(crate) fn add_load(candidates: &mut [Candidate<'_>], chain: &[Segment], tokens: f64) {
    for (candidate, segment) in candidates_on(candidates, chain) {
        candidate.used += tokens * f64::from(segment.span.len());
    }
}

/// Returns the candidates that a chain runs on, each with its segment; a chain contains each
/// endpoint at most once.
fn candidates_on<'r, 'a>(
    candidates: &'r mut [Candidate<'a>],
    chain: &'r [Segment],
) -> impl Iterator<Item = (&'r mut Candidate<'a>, &'r Segment)> {
    let segment = |c: &Candidate<'_>| chain.iter().find(|s| s.row == c.index);
    candidates
        .iter_mut()
        .filter_map(move |c| segment(c).map(|s| (c, s)))
}

/// Returns the number of bits that a request transfers over one hop.
pub(crate) fn bits(engine: &Engine, need: &Need) -> f64 {
    need.tokens() * engine.activation_bytes * 8.0
}
