//! Searches for responses that move: which stages replace a part of a chain, and after which time
//! the response continues.

use super::{Selector, Share};
use crate::chain::Need;
use crate::evacuation::queues::Queues;
use crate::row::Row;
use crate::search::{self, Neighbors, Search, Segment};
use crate::shortage::Shortage;
use crate::target::{ReservationId, Stage, Target};
use crate::{Result, Timestamp};
use catalog::Layer;
use catalog::endpoint::Span;
use catalog::engine::Engine;
use catalog::service::Service;
use std::net::SocketAddr;
use std::time::Duration;

/// Factor on the time of a response's own transfer between zones when its options are compared. Transfers
/// pass a link one after the other, behind those of moves and of decode traffic that load reports do not
/// show: moves over a link ended 0.7 s later in the median where an empty link takes 35 ms.
const TRANSFER_FACTOR: f64 = 8.0;

/// Inputs that the searches for the moving responses of one service share.
#[derive(Clone, Copy)]
pub(super) struct Scope<'a> {
    pub(super) now: Timestamp,
    pub(super) service: &'a Service,
    pub(super) engine: &'a Engine,
    pub(super) residence: Duration,
    /// Factor on the prefill that precedes a response, relative to the other prices of a search.
    pub(super) queue_factor: f64,
}

impl Scope<'_> {
    /// Returns the time that the activations of `tokens` tokens take over an inter-zone link.
    fn transfer_secs(&self, tokens: f64) -> f64 {
        tokens * self.engine.activation_bytes * 8.0 / self.engine.inter_zone_bps.max(1.0)
    }

    /// Returns the time to prefill `tokens` tokens at `layers` layers. Between two chunks an engine runs the
    /// decode steps of one event, which take several times as long as the chunk.
    fn prefill_secs(&self, row: &Row, layers: Layer, tokens: f64) -> f64 {
        let decode = self.engine.prefill_chunk.map_or(0.0, |chunk| {
            row.step_secs * f64::from(self.engine.steps_per_event) / f64::from(chunk.max(1))
        });
        (row.prefill_secs + decode) * row.slowdown * tokens * self.engine.model_fraction(layers)
    }

    /// Returns the number of tokens that a stage prefills before the next one can begin.
    fn chunk(&self, tokens: f64) -> f64 {
        let chunk = self.engine.prefill_chunk.map(f64::from);
        chunk.map_or(tokens, |chunk| chunk.min(tokens))
    }

    /// Returns whether an endpoint can take a moving response.
    pub(super) fn is_usable(&self, row: &Row) -> bool {
        row.endpoint.service == self.service.name
            && row.ended_since.is_none()
            && row.is_available(self.now)
    }
}

/// Adjacent stages of a chain that are replaced together.
pub(super) struct Gap<'a> {
    target: &'a Target,
    /// Indexes of the first and the last stage among those of the target.
    first: usize,
    last: usize,
    pub(super) neighbors: Neighbors,
}

impl Gap<'_> {
    pub(super) fn stages(&self) -> &[Stage] {
        &self.target.stages[self.first..=self.last]
    }

    pub(super) fn span(&self) -> Span {
        let stages = &self.target.stages;
        Span {
            from: stages[self.first].span.from,
            to: stages[self.last].span.to,
        }
    }

    /// Returns whether an endpoint holds layers of the gap and is not part of the chain.
    fn can_run(&self, row: &Row) -> bool {
        let mut stages = self.target.stages.iter();
        overlaps(row, self.span()) && !stages.any(|s| s.run == row.endpoint.run)
    }
}

/// Returns whether an endpoint holds layers of a span.
pub(super) fn overlaps(row: &Row, span: Span) -> bool {
    let held = row.endpoint.span;
    held.from < span.to && span.from < held.to
}

/// Stages that a moving response newly runs over, and the zones around them.
#[derive(Clone, Debug)]
pub(super) struct Path {
    pub(super) neighbors: Neighbors,
    pub(super) segments: Vec<Segment>,
}

impl Selector {
    /// Returns the parts of a chain that the stages at these addresses make up.
    ///
    /// # Errors
    ///
    /// Returns [`Shortage::Endpoints`] if one of them is the head, which can't be replaced since it
    /// holds the request, or if none of them is part of the chain.
    pub(super) fn gaps<'a>(
        &self,
        target: &'a Target,
        faulty_stages: &[SocketAddr],
    ) -> Result<Vec<Gap<'a>>> {
        let stages = &target.stages;
        let is_faulty = |at: usize| faulty_stages.contains(&stages[at].addr);
        if is_faulty(0) {
            return Err(Shortage::Endpoints);
        }
        let mut gaps: Vec<Gap<'a>> = Vec::new();
        for at in (1..stages.len()).filter(|&at| is_faulty(at)) {
            let after = stages.get(at + 1).and_then(|s| self.zone_of(s));
            match gaps.last_mut() {
                Some(gap) if gap.last + 1 == at => {
                    gap.last = at;
                    gap.neighbors.after = after;
                }
                _ => gaps.push(Gap {
                    target,
                    first: at,
                    last: at,
                    neighbors: Neighbors {
                        before: self.zone_of(&stages[at - 1]),
                        after,
                    },
                }),
            }
        }
        match gaps.is_empty() {
            true => Err(Shortage::Endpoints),
            false => Ok(gaps),
        }
    }

    /// Returns the cheapest stages for a span behind the queued work of other moves.
    pub(super) fn cheapest_path(
        &self,
        scope: Scope<'_>,
        span: Span,
        neighbors: Neighbors,
        usable: &[usize],
        queues: &Queues,
        need: &Need,
    ) -> Result<Path> {
        let found = self.search_shortlist(scope.engine, usable, |listed| {
            let mut candidates = self.candidates(scope.now, scope.residence, listed.rows);
            for candidate in &mut candidates {
                candidate.used += queues.load(candidate.index);
                candidate.backlog_secs = scope.queue_factor * queues.prefill(candidate.index);
            }
            let search = Search {
                span,
                neighbors,
                queues: Some(queues),
                ..self.search(scope.now, scope.engine, scope.residence, &candidates)
            };
            search.cheapest_chain(need)
        });
        found.map(|segments| Path {
            neighbors,
            segments,
        })
    }

    /// Returns the cheapest replacements of parts of a chain.
    pub(super) fn replacement(
        &self,
        scope: Scope<'_>,
        gaps: &[Gap<'_>],
        queues: &Queues,
        need: &Need,
    ) -> Result<Vec<Path>> {
        let mut paths: Vec<Path> = Vec::new();
        for gap in gaps {
            let taken = |at: usize| paths.iter().flat_map(|p| &p.segments).any(|s| s.row == at);
            let mut usable = self.rows_where(|row| scope.is_usable(row) && gap.can_run(row));
            usable.retain(|&at| !taken(at));
            let neighbors = gap.neighbors;
            let path = self.cheapest_path(scope, gap.span(), neighbors, &usable, queues, need)?;
            paths.push(path);
        }
        Ok(paths)
    }

    /// Returns the time until a response with `tokens` tokens has run through new stages, in
    /// seconds, if it enters the first one after `start`.
    pub(super) fn time_over(
        &self,
        scope: Scope<'_>,
        queues: &Queues,
        path: &Path,
        tokens: f64,
        start: f64,
    ) -> f64 {
        let cross = |from: Option<usize>, to: Option<usize>, at: f64| match (from, to) {
            (Some(from), Some(to)) if from != to => {
                let delay = scope.engine.delay(&self.zones[from], &self.zones[to]);
                let transfer = TRANSFER_FACTOR * scope.transfer_secs(tokens) + delay.as_secs_f64();
                queues.link(from, to).max(at) + transfer
            }
            _ => at,
        };
        let (mut at, mut zone) = (start, path.neighbors.before);
        // Stages work on different chunks at the same time, so only one of them delays the rest.
        let chunk = scope.chunk(tokens);
        let mut rest: f64 = 0.0;
        for segment in &path.segments {
            let row = &self.rows[segment.row];
            at = cross(zone, Some(row.zone), at).max(queues.prefill(segment.row));
            at += scope.prefill_secs(row, segment.span.len(), chunk);
            rest = rest.max(scope.prefill_secs(row, segment.span.len(), tokens - chunk));
            zone = Some(row.zone);
        }
        cross(zone, path.neighbors.after, at + rest)
    }

    /// Adds the prefill and the transfers of `tokens` tokens over new stages to queues.
    pub(super) fn add_path(&self, scope: Scope<'_>, queues: &mut Queues, path: &Path, tokens: f64) {
        for segment in &path.segments {
            let layers = segment.span.len();
            let secs = scope.prefill_secs(&self.rows[segment.row], layers, tokens);
            queues.add_prefill(segment.row, secs, tokens * f64::from(layers));
        }
        for hop in self.zones_over(path).windows(2).filter(|h| h[0] != h[1]) {
            queues.add_transfer(hop[0], hop[1], scope.transfer_secs(tokens));
        }
    }

    /// Returns the zones of new stages, and of those around them.
    fn zones_over(&self, path: &Path) -> Vec<usize> {
        let own = path.segments.iter().map(|s| self.rows[s.row].zone);
        let before = path.neighbors.before.into_iter();
        before.chain(own).chain(path.neighbors.after).collect()
    }

    /// Reserves the capacity and records the traffic of a response with `tokens` tokens that moves
    /// to new stages.
    fn record_move(&mut self, scope: Scope<'_>, path: &Path, need: &Need, tokens: f64) {
        let zones = self.zones_over(path);
        self.record_hops(scope.now, &zones, search::bits(scope.engine, need));
        for hop in zones.windows(2).filter(|h| h[0] != h[1]) {
            let secs = scope.transfer_secs(tokens);
            self.own_moves
                .record_transfer(scope.now, hop[0], hop[1], secs);
        }
        for segment in &path.segments {
            let row = &self.rows[segment.row];
            let secs = scope.prefill_secs(row, segment.span.len(), tokens);
            self.own_moves
                .record_prefill(scope.now, &row.endpoint.run, secs);
        }
    }

    /// Replaces parts of a chain in flight, and returns its new stages, whose capacity the attempt
    /// reserves from now on.
    pub(super) fn commit_replacement(
        &mut self,
        scope: Scope<'_>,
        target: &Target,
        gaps: &[Gap<'_>],
        paths: &[Path],
        need: &Need,
        tokens: f64,
    ) -> Vec<Stage> {
        let mut all = target.stages.clone();
        // From the last part to the first, so that the indexes of the others stay.
        for (gap, path) in gaps.iter().zip(paths).rev() {
            self.record_move(scope, path, need, tokens);
            let (shares, stages) = self.reserve_segments(&path.segments, need.tokens());
            self.record_requests(scope.now, &path.segments);
            let replaced = gap.first..=gap.last;
            let addrs: Vec<SocketAddr> = all[replaced.clone()].iter().map(|s| s.addr).collect();
            self.replace_shares(target.reservation, &addrs, shares);
            all.splice(replaced, stages);
        }
        all
    }

    /// Reserves a complete new chain for a response with `tokens` tokens.
    pub(super) fn commit_resumption(
        &mut self,
        scope: Scope<'_>,
        path: &Path,
        need: &Need,
        tokens: f64,
    ) -> Target {
        self.record_move(scope, path, need, tokens);
        let target = self.reserve(scope.now, &path.segments, need.tokens());
        let (service, attempt) = (&scope.service.name, target.reservation);
        self.begin_prefill(
            scope.now,
            service,
            scope.engine,
            need,
            attempt,
            &path.segments,
        );
        target
    }

    /// Replaces the shares of an attempt at some addresses by others.
    fn replace_shares(&mut self, id: ReservationId, faulty: &[SocketAddr], shares: Vec<Share>) {
        let Some(reservation) = self.reservations.get_mut(&id) else {
            return shares.iter().for_each(|share| self.release(share));
        };
        let kept = std::mem::take(&mut reservation.shares);
        let (removed, mut kept): (Vec<_>, Vec<_>) =
            kept.into_iter().partition(|s| faulty.contains(&s.addr));
        kept.extend(shares);
        reservation.shares = kept;
        removed.iter().for_each(|share| self.release(share));
    }
}

impl Selector {
    /// Returns the cheapest chain over all layers.
    pub(super) fn new_chain(
        &self,
        scope: Scope<'_>,
        usable: &[usize],
        queues: &Queues,
        need: &Need,
    ) -> Option<Path> {
        let span = Span {
            from: 0,
            to: scope.engine.layers,
        };
        let found = self.cheapest_path(scope, span, Neighbors::default(), usable, queues, need);
        found.ok()
    }
}
