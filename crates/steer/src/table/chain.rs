//! The choice of a chain, and of a way around one of its stages.

use super::Steer;
use crate::chain::Need;
use crate::jitter::Jitter;
use crate::row::Row;
use crate::search::{self, Candidate, Part, Search};
use crate::shortage::Shortage;
use crate::target::{Stage, Target};
use crate::unseen::{self, Flow};
use crate::{Now, Result};
use catalog::ServiceId;
use catalog::endpoint::{Run, Span};
use catalog::engine::Engine;
use catalog::service::Service;
use rand::RngExt;
use std::net::SocketAddr;
use std::time::Duration;

impl Steer {
    /// A chain for a request of a model service that was not sent to any of `tried`.
    pub(super) fn chain(
        &mut self,
        now: Now,
        service: &Service,
        engine: &Engine,
        need: &Need,
        tried: &[Run],
    ) -> Result<Vec<Part>> {
        let draw = self.rng.random_range(0..unseen::PARTS);
        let flow = self.flow(service, engine);
        let usable = |row: &Row| {
            let endpoint = &row.endpoint;
            endpoint.service == service.name && row.open(now) && !tried.contains(&endpoint.run)
        };
        let rows = self.candidates(now, flow.stay(), usable);
        if rows.is_empty() {
            return Err(Shortage::Endpoints);
        }
        self.place(now, engine, need, rows, flow, draw)
    }

    /// The chain that is the cheapest once others have placed so many parts of the requests that
    /// no report shows yet.
    fn place(
        &self,
        now: Now,
        engine: &Engine,
        need: &Need,
        mut rows: Vec<Candidate<'_>>,
        flow: Flow,
        parts: u32,
    ) -> Result<Vec<Part>> {
        let whole = Span {
            from: 0,
            to: engine.layers,
        };
        let stay = flow.stay();
        let nodes = self.nodes();
        let others = flow.others(now, nodes, lag(now, &rows));
        let tokens = need.tokens() * others / f64::from(unseen::PARTS);
        let mut found = self.search(now, engine, stay, whole, &rows).chain(need)?;
        for _ in 0..parts {
            search::load(&mut rows, &found, tokens);
            match self.search(now, engine, stay, whole, &rows).chain(need) {
                Ok(chain) => found = chain,
                // There is room for a part of the requests only.
                Err(_) => break,
            }
        }
        Ok(found)
    }

    fn search<'a>(
        &'a self,
        now: Now,
        engine: &'a Engine,
        stay: Duration,
        span: Span,
        rows: &'a [Candidate<'a>],
    ) -> Search<'a> {
        Search {
            engine,
            span,
            rows,
            zones: self.zones.len(),
            nodes: self.nodes(),
            pipes: &self.pipes,
            stay,
            now,
        }
    }

    /// How requests of a model service come and stay.
    pub(super) fn flow(&self, service: &Service, engine: &Engine) -> Flow {
        let known = self.flows.get(&service.name);
        known.copied().unwrap_or(Flow::new(engine.stay()))
    }

    /// Counts what goes over pipes when each of these zones hands on to the next.
    pub(super) fn send(&mut self, now: Now, zones: &[usize], bits: f64) {
        let hops = zones.windows(2).filter(|hop| hop[0] != hop[1]);
        hops.for_each(|hop| self.pipes.send(now, hop[0], hop[1], bits));
    }

    /// The zone of a stage's endpoint, if it is still known.
    fn zone_of(&self, stage: &Stage) -> Option<usize> {
        self.index.get(&stage.run).map(|&at| self.rows[at].zone)
    }

    /// The endpoints that a stage may run on, each with its chance factor.
    fn candidates(
        &self,
        now: Now,
        stay: Duration,
        usable: impl Fn(&Row) -> bool,
    ) -> Vec<Candidate<'_>> {
        // A generator of its own, since the table is borrowed by the candidates.
        let mut rng = self.rng.clone();
        let nodes = self.nodes();
        let jitter = Jitter::new(&mut rng, nodes, self.zones.len());
        let rows = self.rows.iter().enumerate();
        let rows = rows.filter(|(_, row)| usable(row));
        rows.map(|(index, row)| Candidate {
            index,
            row,
            used: row.used(now, nodes, stay),
            factor: jitter.row(&mut rng, row.zone),
        })
        .collect()
    }

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
        let engine = catalog.service(service).and_then(|s| s.engine.as_ref());
        let engine = engine.ok_or(Shortage::Endpoints)?;
        let place = target.stages.iter().position(|s| s.addr == culprit);
        let place = place.filter(|&p| p > 0).ok_or(Shortage::Endpoints)?;
        let used: Vec<&Run> = target.stages.iter().map(|s| &s.run).collect();
        let parts = {
            let service = &catalog.services[service as usize];
            let usable = |row: &Row| {
                let endpoint = &row.endpoint;
                endpoint.service == service.name && row.open(now) && !used.contains(&&endpoint.run)
            };
            let stay = self.flow(service, engine).stay();
            let rows = self.candidates(now, stay, usable);
            let span = target.stages[place].span;
            self.search(now, engine, stay, span, &rows).chain(need)?
        };
        let around = &target.stages[place - 1..];
        let new = parts.iter().map(|p| Some(self.rows[p.row].zone));
        let zones = std::iter::once(self.zone_of(&around[0]));
        let zones = zones
            .chain(new)
            .chain(around.get(2).map(|s| self.zone_of(s)));
        let zones: Vec<usize> = zones.flatten().collect();
        self.send(now, &zones, search::bits(engine, need));
        let (shares, stages) = self.take(&parts, need.tokens());
        if let Some(held) = self.holds.get_mut(&target.hold) {
            let gone = held.parts.iter().position(|s| s.addr == culprit);
            let gone = gone.map(|at| held.parts.remove(at));
            held.parts.extend(shares);
            gone.iter().for_each(|share| self.release(share));
        } else {
            shares.iter().for_each(|share| self.release(share));
        }
        let before = target.stages[..place].iter();
        let after = target.stages[place + 1..].iter();
        Ok(before
            .cloned()
            .chain(stages)
            .chain(after.cloned())
            .collect())
    }
}

/// Mean age of the reports by which these are chosen.
fn lag(now: Now, rows: &[Candidate<'_>]) -> Duration {
    let ages = rows.iter().filter_map(|c| c.row.known.map(|k| k.age(now)));
    let (count, sum) = ages.fold((0, Duration::ZERO), |(n, sum), age| (n + 1, sum + age));
    sum.checked_div(count).unwrap_or_default()
}
