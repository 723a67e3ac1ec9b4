//! A way around one stage of a chain that is under way.
//!
//! The new stages read all tokens of the request again, and what they read comes from the stage
//! before them. All nodes move the requests that were at a dead endpoint within half a second. So
//! a way is looked for in the zone of the stages around it, and what the others move is placed in
//! thought first, as for new requests ([`crate::unreported`]): were all to take the cheapest endpoint,
//! it would read for longer than callers wait.

use super::{Selector, Share};
use crate::chain::Need;
use crate::row::Row;
use crate::search::{self, Candidate, Neighbors, Search, Segment};
use crate::shortage::Shortage;
use crate::target::{ReservationId, Stage, Target};
use crate::unreported;
use crate::{Result, Timestamp};
use catalog::ServiceId;
use catalog::engine::Engine;
use catalog::service::Service;
use rand::RngExt;
use std::net::SocketAddr;
use std::time::Duration;

/// Parts in which the requests of the others are placed.
const INCREMENTS: u32 = 24;

/// A stage that is replaced.
struct Gap<'a> {
    target: &'a Target,
    /// Its index among the stages.
    index: usize,
    neighbors: Neighbors,
}

impl<'a> Gap<'a> {
    fn stage(&self) -> &'a Stage {
        &self.target.stages[self.index]
    }

    /// Whether an endpoint holds layers of the stage and is not in the chain yet.
    fn can_run(&self, row: &Row) -> bool {
        let (held, lost) = (row.endpoint.span, self.stage().span);
        let overlaps = held.from < lost.to && lost.from < held.to;
        let mut stages = self.target.stages.iter();
        overlaps && !stages.any(|s| s.run == row.endpoint.run)
    }

    /// The stages with others in its place.
    fn with_replacement(&self, stages: Vec<Stage>) -> Vec<Stage> {
        let mut all = self.target.stages.clone();
        all.splice(self.index..=self.index, stages);
        all
    }
}

impl Selector {
    /// Replaces the stage at `faulty_stage` of a chain that is under way. Its head stays, since the
    /// request is there. The stages of the new chain; the attempt holds them from now on.
    pub fn reroute(
        &mut self,
        now: Timestamp,
        target: &Target,
        service: ServiceId,
        need: &Need,
        faulty_stage: SocketAddr,
    ) -> Result<Vec<Stage>> {
        let catalog = self.fleet.catalog.clone();
        let service = catalog.service(service).ok_or(Shortage::Endpoints)?;
        let engine = service.engine.as_ref().ok_or(Shortage::Endpoints)?;
        let gap = self.gap(target, faulty_stage)?;
        let increments = self.rng.random_range(0..INCREMENTS);
        let segments = self.replacement(now, service, engine, need, &gap, increments)?;
        let new = segments.iter().map(|s| self.rows[s.row].zone);
        let zones = gap
            .neighbors
            .before
            .into_iter()
            .chain(new)
            .chain(gap.neighbors.after);
        let zones: Vec<usize> = zones.collect();
        self.record_hops(now, &zones, search::bits(engine, need));
        let (shares, stages) = self.reserve_segments(&segments, need.tokens());
        self.replace_share(target.reservation, faulty_stage, shares);
        Ok(gap.with_replacement(stages))
    }

    /// Takes back a change of stages that the head did not take: the attempt holds what `target` says.
    pub fn revert_reroute(&mut self, target: &Target, need: &Need) {
        let Some(mut reservation) = self.reservations.remove(&target.reservation) else {
            return;
        };
        reservation
            .shares
            .iter()
            .for_each(|share| self.release(share));
        let segment = |stage: &Stage| {
            let row = *self.index.get(&stage.run)?;
            let span = stage.span;
            Some(Segment { row, span })
        };
        let segments: Vec<Segment> = target.stages.iter().filter_map(segment).collect();
        (reservation.shares, _) = self.reserve_segments(&segments, need.tokens());
        self.reservations.insert(target.reservation, reservation);
    }

    /// The stage at `faulty_stage`, unless it is the head.
    fn gap<'a>(&self, target: &'a Target, faulty_stage: SocketAddr) -> Result<Gap<'a>> {
        let index = target.stages.iter().position(|s| s.addr == faulty_stage);
        let index = index.filter(|&p| p > 0).ok_or(Shortage::Endpoints)?;
        let after = target.stages.get(index + 1);
        let neighbors = Neighbors {
            before: self.zone_of(&target.stages[index - 1]),
            after: after.and_then(|s| self.zone_of(s)),
        };
        Ok(Gap {
            target,
            index,
            neighbors,
        })
    }

    /// The cheapest way around a stage once others have moved so many parts of their requests.
    fn replacement(
        &self,
        now: Timestamp,
        service: &Service,
        engine: &Engine,
        need: &Need,
        gap: &Gap<'_>,
        increments: u32,
    ) -> Result<Vec<Segment>> {
        let usable = self.usable(|row| {
            row.endpoint.service == service.name && row.is_available(now) && gap.can_run(row)
        });
        let residence = self.flow(service, engine).residence();
        let stranded = self.stranded_tokens(now, gap.stage()) / f64::from(INCREMENTS);
        let find = |rows: &Vec<Candidate<'_>>| {
            let search = Search {
                span: gap.stage().span,
                neighbors: gap.neighbors,
                ..self.search(now, engine, residence, rows)
            };
            search.cheapest_chain(need)
        };
        self.search_shortlist(engine, &usable, |listed| {
            let mut rows = self.candidates(now, residence, listed.rows);
            let tokens = stranded * listed.fraction;
            unreported::assign_incrementally(&mut rows, increments, find, |rows, chain| {
                search::add_prefill(engine, rows, chain, tokens);
            })
        })
    }

    /// Tokens that other nodes' requests have at each layer of a stage that is gone, by its last
    /// report.
    fn stranded_tokens(&self, now: Timestamp, stage: &Stage) -> f64 {
        let Some(&at) = self.index.get(&stage.run) else {
            return 0.0;
        };
        let row = &self.rows[at];
        // None of them ends while its stage is gone.
        let used = row.used(now, self.nodes(), Duration::MAX);
        let layers = f64::from(row.endpoint.span.len().max(1));
        (used - row.reserved).max(0.0) / layers
    }

    /// What an attempt holds at `faulty_stage` gives way to these shares.
    fn replace_share(&mut self, id: ReservationId, faulty_stage: SocketAddr, shares: Vec<Share>) {
        let Some(reservation) = self.reservations.get_mut(&id) else {
            return shares.iter().for_each(|share| self.release(share));
        };
        let removed = reservation
            .shares
            .iter()
            .position(|s| s.addr == faulty_stage);
        let removed = removed.map(|at| reservation.shares.remove(at));
        reservation.shares.extend(shares);
        removed.iter().for_each(|share| self.release(share));
    }
}
