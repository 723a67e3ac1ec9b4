//! A way around one stage of a chain that is under way.
//!
//! The new stages read all tokens of the request again, and what they read comes from the stage
//! before them. All nodes move the requests that were at a dead endpoint within half a second. So
//! a way is looked for in the zone of the stages around it, and what the others move is placed in
//! thought first, as for new requests ([`crate::unseen`]): were all to take the cheapest endpoint,
//! it would read for longer than callers wait.

use super::{Share, Steer};
use crate::chain::Need;
use crate::row::Row;
use crate::search::{self, Candidate, Ends, Part, Search};
use crate::shortage::Shortage;
use crate::target::{Hold, Stage, Target};
use crate::unseen;
use crate::{Now, Result};
use catalog::ServiceId;
use catalog::engine::Engine;
use catalog::service::Service;
use rand::RngExt;
use std::net::SocketAddr;
use std::time::Duration;

/// Parts in which the requests of the others are placed.
const PARTS: u32 = 24;

/// A stage that is replaced.
struct Gap<'a> {
    target: &'a Target,
    /// Its index among the stages.
    place: usize,
    ends: Ends,
}

impl<'a> Gap<'a> {
    fn stage(&self) -> &'a Stage {
        &self.target.stages[self.place]
    }

    /// Whether an endpoint holds layers of the stage and is not in the chain yet.
    fn may_take(&self, row: &Row) -> bool {
        let (held, lost) = (row.endpoint.span, self.stage().span);
        let meets = held.from < lost.to && lost.from < held.to;
        let mut stages = self.target.stages.iter();
        meets && !stages.any(|s| s.run == row.endpoint.run)
    }

    /// The stages with others in its place.
    fn filled(&self, stages: Vec<Stage>) -> Vec<Stage> {
        let mut all = self.target.stages.clone();
        all.splice(self.place..=self.place, stages);
        all
    }
}

impl Steer {
    /// Replaces the stage at `culprit` of a chain that is under way. Its head stays, since the
    /// request is there. The stages of the new chain; the attempt holds them from now on.
    pub fn detour(
        &mut self,
        now: Now,
        target: &Target,
        service: ServiceId,
        need: &Need,
        culprit: SocketAddr,
    ) -> Result<Vec<Stage>> {
        let catalog = self.fleet.catalog.clone();
        let service = catalog.service(service).ok_or(Shortage::Endpoints)?;
        let engine = service.engine.as_ref().ok_or(Shortage::Endpoints)?;
        let gap = self.gap(target, culprit)?;
        let draw = self.rng.random_range(0..PARTS);
        let parts = self.around(now, service, engine, need, &gap, draw)?;
        let new = parts.iter().map(|p| self.rows[p.row].zone);
        let zones = gap.ends.before.into_iter().chain(new).chain(gap.ends.after);
        let zones: Vec<usize> = zones.collect();
        self.send(now, &zones, search::bits(engine, need));
        let (shares, stages) = self.take(&parts, need.tokens());
        self.swap(target.hold, culprit, shares);
        Ok(gap.filled(stages))
    }

    /// Takes back a change of stages that the head did not take: the attempt holds what `target` says.
    pub fn retake(&mut self, target: &Target, need: &Need) {
        let Some(mut held) = self.holds.remove(&target.hold) else {
            return;
        };
        held.parts.iter().for_each(|share| self.release(share));
        let part = |stage: &Stage| {
            let row = *self.index.get(&stage.run)?;
            let span = stage.span;
            Some(Part { row, span })
        };
        let parts: Vec<Part> = target.stages.iter().filter_map(part).collect();
        (held.parts, _) = self.take(&parts, need.tokens());
        self.holds.insert(target.hold, held);
    }

    /// The stage at `culprit`, unless it is the head.
    fn gap<'a>(&self, target: &'a Target, culprit: SocketAddr) -> Result<Gap<'a>> {
        let place = target.stages.iter().position(|s| s.addr == culprit);
        let place = place.filter(|&p| p > 0).ok_or(Shortage::Endpoints)?;
        let after = target.stages.get(place + 1);
        let ends = Ends {
            before: self.zone_of(&target.stages[place - 1]),
            after: after.and_then(|s| self.zone_of(s)),
        };
        Ok(Gap {
            target,
            place,
            ends,
        })
    }

    /// The cheapest way around a stage once others have moved so many parts of their requests.
    fn around(
        &self,
        now: Now,
        service: &Service,
        engine: &Engine,
        need: &Need,
        gap: &Gap<'_>,
        parts: u32,
    ) -> Result<Vec<Part>> {
        let usable = self.usable(|row| {
            row.endpoint.service == service.name && row.open(now) && gap.may_take(row)
        });
        let stay = self.flow(service, engine).stay();
        let stranded = self.stranded(now, gap.stage()) / f64::from(PARTS);
        let find = |rows: &Vec<Candidate<'_>>| {
            let search = Search {
                span: gap.stage().span,
                ends: gap.ends,
                ..self.search(now, engine, stay, rows)
            };
            search.chain(need)
        };
        self.over_shortlist(engine, &usable, |listed| {
            let mut rows = self.candidates(now, stay, listed.rows);
            let tokens = stranded * listed.part;
            unseen::after(&mut rows, parts, find, |rows, chain| {
                search::reread(engine, rows, chain, tokens);
            })
        })
    }

    /// Tokens that other nodes' requests have at each layer of a stage that is gone, by its last
    /// report.
    fn stranded(&self, now: Now, stage: &Stage) -> f64 {
        let Some(&at) = self.index.get(&stage.run) else {
            return 0.0;
        };
        let row = &self.rows[at];
        // None of them ends while its stage is gone.
        let used = row.used(now, self.nodes(), Duration::MAX);
        let layers = f64::from(row.endpoint.span.len().max(1));
        (used - row.held).max(0.0) / layers
    }

    /// What an attempt holds at `culprit` gives way to these shares.
    fn swap(&mut self, hold: Hold, culprit: SocketAddr, shares: Vec<Share>) {
        let Some(held) = self.holds.get_mut(&hold) else {
            return shares.iter().for_each(|share| self.release(share));
        };
        let gone = held.parts.iter().position(|s| s.addr == culprit);
        let gone = gone.map(|at| held.parts.remove(at));
        held.parts.extend(shares);
        gone.iter().for_each(|share| self.release(share));
    }
}
