//! Replacement of one stage of a chain in flight.
//!
//! The new stages prefill all tokens of the request again, and receive the activations from the
//! previous stage. The search therefore prefers the zone of the neighboring stages. After an
//! endpoint dies, all nodes reroute its requests within half a second. The search therefore first
//! simulates the reroutes of the other nodes, as for new requests ([`crate::unreported`]): if all
//! nodes took the cheapest endpoint, its prefill would take longer than callers wait.

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

/// Number of increments in which the reroutes of the other nodes are simulated.
const INCREMENTS: u32 = 24;

/// Stage that is to be replaced.
struct Gap<'a> {
    target: &'a Target,
    /// Index among the stages of the target.
    index: usize,
    neighbors: Neighbors,
}

impl<'a> Gap<'a> {
    fn stage(&self) -> &'a Stage {
        &self.target.stages[self.index]
    }

    /// Returns whether an endpoint holds layers of the stage and is not part of the chain.
    fn can_run(&self, row: &Row) -> bool {
        let (held, lost) = (row.endpoint.span, self.stage().span);
        let overlaps = held.from < lost.to && lost.from < held.to;
        let mut stages = self.target.stages.iter();
        overlaps && !stages.any(|s| s.run == row.endpoint.run)
    }

    /// Returns the stages of the target with `stages` in place of the replaced one.
    fn with_replacement(&self, stages: Vec<Stage>) -> Vec<Stage> {
        let mut all = self.target.stages.clone();
        all.splice(self.index..=self.index, stages);
        all
    }
}

impl Selector {
    /// Replaces the stage at address `faulty_stage` of a chain in flight, and returns the stages of
    /// the new chain, whose capacity the attempt reserves from now on. The head cannot be replaced,
    /// since it holds the request.
    ///
    /// # Errors
    ///
    /// Returns a [`Shortage`] if `faulty_stage` is the head or not part of the chain, or if no
    /// other endpoints can take over its layers.
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
        self.record_requests(now, &segments);
        self.replace_share(target.reservation, faulty_stage, shares);
        Ok(gap.with_replacement(stages))
    }

    /// Reverts a reroute that the head of the chain did not accept: the attempt reserves the stages
    /// of `target` again.
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

    /// Returns the stage at address `faulty_stage`.
    ///
    /// # Errors
    ///
    /// Returns [`Shortage::Endpoints`] if it is the head or not part of the chain.
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

    /// Returns the cheapest replacement of a stage after `increments` simulated reroutes of other
    /// nodes.
    fn replacement(
        &self,
        now: Timestamp,
        service: &Service,
        engine: &Engine,
        need: &Need,
        gap: &Gap<'_>,
        increments: u32,
    ) -> Result<Vec<Segment>> {
        let usable = self.rows_where(|row| {
            row.endpoint.service == service.name && row.is_available(now) && gap.can_run(row)
        });
        let residence = self.flow(service, engine).residence();
        let stranded = self.stranded_tokens(now, gap.stage()) / f64::from(INCREMENTS);
        let find = |candidates: &Vec<Candidate<'_>>| {
            let search = Search {
                span: gap.stage().span,
                neighbors: gap.neighbors,
                ..self.search(now, engine, residence, candidates)
            };
            search.cheapest_chain(need)
        };
        self.search_shortlist(engine, &usable, |listed| {
            let mut candidates = self.candidates(now, residence, listed.rows);
            let tokens = stranded * listed.fraction;
            unreported::assign_incrementally(
                &mut candidates,
                increments,
                find,
                |candidates, chain| {
                    search::add_prefill(engine, candidates, chain, tokens);
                },
            )
        })
    }

    /// Returns the number of tokens of other nodes' requests at each layer of a lost stage, by its
    /// last load report.
    fn stranded_tokens(&self, now: Timestamp, stage: &Stage) -> f64 {
        let Some(&at) = self.index.get(&stage.run) else {
            return 0.0;
        };
        let row = &self.rows[at];
        // None of these requests ends while its stage is lost, so none is discounted.
        let used = row.used(now, self.nodes(), Duration::MAX);
        let layers = f64::from(row.endpoint.span.len().max(1));
        (used - row.reserved).max(0.0) / layers
    }

    /// Replaces the share of an attempt at address `faulty_stage` by other shares.
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
