//! The cheapest chain of endpoints over all layers.
//!
//! A shortest path over a layered graph: from layer 0 on, a stage runs from where the last one
//! ended up to some cut (a layer at which any endpoint begins or ends). The cost of a stage is
//! its time for the request, dearer the more of its memory or time is used; a hop to another availability zone
//! costs its delay and its part of the shared pipe. An endpoint runs at most one stage of a chain,
//! since engines refuse a chain that names one twice.

use crate::Now;
use crate::chain::{FILL, FILL_URGENT, Need};
use crate::pipe::Pipes;
use crate::row::Row;
use crate::shortage::Shortage;
use catalog::Layer;
use catalog::endpoint::Span;
use catalog::engine::Engine;
use std::time::Duration;

/// Most stages of a chain that an engine takes.
const STAGES: usize = 32;
/// Cost of a stage by itself, in seconds of a request: each stage is one more endpoint whose loss
/// stalls the request.
const STAGE: f64 = 0.004;
/// How often a request's own transfer counts between availability zones: all requests share a pipe.
const PIPE: f64 = 60.0;
/// By how much the price of an endpoint grows until its memory is full, as a multiple of its price
/// when empty. Even, since nodes see uses that are up to a second old: where the price grows
/// steeply, all leave an endpoint at once and come back at once.
const SLOPE: f64 = 5.0;
/// How often the wait for a place at the first endpoint counts. The queue is that of half a second
/// ago and all nodes see it, so it is dear while it is short.
const QUEUE: f64 = 10.0;
/// How busy an endpoint counts at the most, as a multiple of what it can do.
const MOST_BUSY: f64 = 3.0;
/// Part of an endpoint's memory past which its price does not grow.
const MOST_USED: f64 = 0.95;
/// Part of a pipe that is used at the most. Past it every request on the pipe is late.
const MOST_PIPE: f64 = 0.75;

/// A stage: an index into the rows, and its layers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Part {
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
    pub(crate) factor: f64,
    /// Seconds of reading that stand before this request, as far as they are placed in thought.
    pub(crate) backlog: f64,
}

/// Zones of the stages that stay on both sides of a stage which is replaced; none where the chain
/// begins or ends. A replaced stage in another zone costs two hops, over which all tokens so far go
/// at once.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Ends {
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
    pub(crate) ends: Ends,
    /// Nodes that send requests as this one does.
    pub(crate) nodes: f64,
    /// What this node sends between zones.
    pub(crate) pipes: &'a Pipes,
    /// How long requests stay on their chains.
    pub(crate) stay: Duration,
    pub(crate) now: Now,
}

/// A cut and an availability zone, by number: where a way through the layers stands.
type Place = (usize, usize);

/// The cheapest way to have run all layers before a cut, with the last stage in one zone.
#[derive(Clone, Copy, Debug)]
struct Best {
    cost: f64,
    part: Part,
    /// Where the way stood before this stage.
    from: Option<Place>,
}

impl Search<'_> {
    /// The cheapest chain.
    pub(crate) fn chain(&self, need: &Need) -> Result<Vec<Part>, Shortage> {
        debug_assert!(self.rows.iter().all(|c| c.row.open(self.now)));
        let cuts = self.cuts();
        if !self.covered(&cuts) {
            return Err(Shortage::Layers);
        }
        let fill = if need.urgent { FILL_URGENT } else { FILL };
        let size = need.tokens();
        let largest = |l: Layer| self.largest(l) * FILL_URGENT >= size;
        if !(self.span.from..self.span.to).all(largest) {
            return Err(Shortage::Size);
        }
        let hops = self.hops(need);
        let prices: Vec<f64> = self.rows.iter().map(|c| self.price(c, need)).collect();
        let mut best: Vec<Option<Best>> = vec![None; cuts.len() * self.zones.len()];
        let mut reach: Vec<bool> = vec![false; cuts.len()];
        reach[0] = true;
        for at in 0..cuts.len() - 1 {
            if !reach[at] {
                continue;
            }
            for (candidate, price) in self.rows.iter().zip(&prices) {
                let &Candidate {
                    index,
                    row,
                    used,
                    backlog,
                    ..
                } = candidate;
                let span = row.endpoint.span;
                if !span.holds(cuts[at]) {
                    continue;
                }
                let Some((start, from)) = self.entry(&best, &hops, at, row, index) else {
                    continue;
                };
                let room = row.room * fill - used;
                for to in at + 1..cuts.len() {
                    if cuts[to] > span.to.min(self.span.to) {
                        break;
                    }
                    let layers = cuts[to] - cuts[at];
                    if size * f64::from(layers) > room {
                        break;
                    }
                    let cost = start + STAGE + backlog + price * f64::from(layers);
                    let slot = &mut best[self.slot((to, row.zone))];
                    if slot.is_none_or(|b| cost < b.cost) {
                        let span = Span {
                            from: cuts[at],
                            to: cuts[to],
                        };
                        *slot = Some(Best {
                            cost,
                            part: Part { row: index, span },
                            from,
                        });
                        reach[to] = true;
                    }
                }
            }
        }
        let end = cuts.len() - 1;
        self.walk(&best, &hops, end).ok_or(Shortage::Room)
    }

    /// Where the best way to a place is kept.
    fn slot(&self, (at, zone): Place) -> usize {
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

    fn covered(&self, cuts: &[Layer]) -> bool {
        let mut cuts = cuts.iter().filter(|&&c| c < self.span.to);
        cuts.all(|&c| self.rows.iter().any(|r| r.row.endpoint.span.holds(c)))
    }

    /// Most tokens that any endpoint could hold of a request if it ran just this layer, empty.
    fn largest(&self, layer: Layer) -> f64 {
        let rows = self.rows.iter().map(|c| c.row);
        let rows = rows.filter(|r| r.endpoint.span.holds(layer));
        rows.map(|r| r.room).fold(0.0, f64::max)
    }

    /// Cost before a stage on `row` that begins at cut `at`, and the way there.
    fn entry(
        &self,
        best: &[Option<Best>],
        hops: &Hops,
        at: usize,
        row: &Row,
        index: usize,
    ) -> Option<(f64, Option<Place>)> {
        if at == 0 {
            let hop = hops.cost(self.ends.before, Some(row.zone))?;
            return Some((hop + self.queue(row), None));
        }
        let mut found: Option<(f64, Option<Place>)> = None;
        for zone in 0..self.zones.len() {
            let Some(before) = best[self.slot((at, zone))] else {
                continue;
            };
            let Some(hop) = hops.cost(Some(zone), Some(row.zone)) else {
                continue;
            };
            let cost = before.cost + hop;
            let cheaper = found.is_none_or(|(c, _)| cost < c);
            if cheaper && !self.names(best, (at, zone), index) {
                found = Some((cost, Some((at, zone))));
            }
        }
        found
    }

    /// Price of the wait before a chain begins at this row. An endpoint begins a bounded number of
    /// chains at once, whatever memory it has; those beyond wait, and their callers with them.
    fn queue(&self, row: &Row) -> f64 {
        let slots = f64::from(row.endpoint.slots.max(1));
        let queued = row.known.map_or(0, |k| k.queued(self.now));
        match self.span.from {
            0 => QUEUE * f64::from(queued) * self.stay.as_secs_f64() / slots,
            // The endpoints of a detour are not the first of their chain.
            _ => 0.0,
        }
    }

    /// Whether the way to a state has a stage on this row.
    fn names(&self, best: &[Option<Best>], mut state: Place, row: usize) -> bool {
        while let Some(before) = best[self.slot(state)] {
            if before.part.row == row {
                return true;
            }
            match before.from {
                Some(from) => state = from,
                None => return false,
            }
        }
        false
    }

    /// What hops between all zones cost this request.
    fn hops(&self, need: &Need) -> Hops {
        let zones = self.zones.len();
        let pairs = (0..zones).flat_map(|from| (0..zones).map(move |to| (from, to)));
        let costs = pairs.map(|(from, to)| self.hop(from, to, need)).collect();
        Hops { zones, costs }
    }

    /// Time that a hop costs a request; nothing if the pipe can't take it.
    fn hop(&self, from: usize, to: usize, need: &Need) -> Option<f64> {
        if from == to {
            return Some(0.0);
        }
        let delay = self.engine.delay(&self.zones[from], &self.zones[to]);
        let capacity = self.engine.pipe_bits.max(1.0);
        let transfer = bits(self.engine, need) / capacity;
        let used = self.pipes.rate(self.now, from, to) * self.nodes / capacity;
        if used > MOST_PIPE {
            return None;
        }
        // A token waits for the one before it, so each token pays the delay. The pipe is shared
        // by all requests, so a request's part of it counts several times its own transfer.
        Some(delay.as_secs_f64() * f64::from(need.size.answer) + PIPE * transfer / (1.0 - used))
    }

    /// Time that a request spends at each layer of a stage, dearer the fuller its memory is.
    fn price(&self, candidate: &Candidate<'_>, need: &Need) -> f64 {
        let &Candidate { row, used, .. } = candidate;
        let part = self.engine.part(1);
        // Requests under way there, by the room that one of this size would take.
        let held = f64::from(row.endpoint.span.len()) * need.tokens();
        let flying = used / held.max(1.0);
        let each = self.engine.per_request.as_secs_f64()
            + self.engine.per_context.as_secs_f64() * need.tokens() / 1000.0;
        let crowd = 1.0 + flying * each / self.engine.step.as_secs_f64().max(1e-9);
        let write = row.step * crowd * f64::from(need.size.answer);
        let read = row.read * f64::from(need.size.prompt);
        let used = (used / row.room.max(1.0)).clamp(0.0, MOST_USED);
        let busy = (flying * row.slow / row.most.max(1.0)).min(MOST_BUSY);
        (write + read) * part * row.slow * (1.0 + SLOPE * used.max(busy)) * candidate.factor
    }

    fn walk(&self, best: &[Option<Best>], hops: &Hops, end: usize) -> Option<Vec<Part>> {
        let last = (0..self.zones.len()).filter_map(|zone| {
            let last = best[self.slot((end, zone))]?;
            let cost = last.cost + hops.cost(Some(zone), self.ends.after)?;
            Some(Best { cost, ..last })
        });
        let last = last.min_by(|a, b| a.cost.total_cmp(&b.cost))?;
        let mut parts = vec![last.part];
        let mut from = last.from;
        while let Some((at, zone)) = from {
            let before = best[self.slot((at, zone))]?;
            parts.push(before.part);
            from = before.from;
        }
        parts.reverse();
        (parts.len() <= STAGES).then_some(parts)
    }
}

/// Takes `tokens` tokens as under way on a chain, for the next search.
pub(crate) fn load(rows: &mut [Candidate<'_>], chain: &[Part], tokens: f64) {
    for (candidate, part) in along(rows, chain) {
        candidate.used += tokens * f64::from(part.span.len());
    }
}

/// Takes `tokens` tokens as being read anew on a chain, for the next search: they take room there
/// and time before whatever comes later.
pub(crate) fn reread(engine: &Engine, rows: &mut [Candidate<'_>], chain: &[Part], tokens: f64) {
    load(rows, chain, tokens);
    for (candidate, part) in along(rows, chain) {
        let row = candidate.row;
        candidate.backlog += row.read * row.slow * tokens * engine.part(part.span.len());
    }
}

/// The candidates that a chain runs on, each with its part; a chain has no endpoint twice.
fn along<'r, 'a>(
    rows: &'r mut [Candidate<'a>],
    chain: &'r [Part],
) -> impl Iterator<Item = (&'r mut Candidate<'a>, &'r Part)> {
    let part = |c: &Candidate<'_>| chain.iter().find(|p| p.row == c.index);
    rows.iter_mut().filter_map(move |c| part(c).map(|p| (c, p)))
}

/// Bits that a request sends over one hop.
pub(crate) fn bits(engine: &Engine, need: &Need) -> f64 {
    need.tokens() * engine.activation_bytes * 8.0
}
