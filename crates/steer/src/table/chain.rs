//! The choice of a chain.

use super::Steer;
use crate::chain::Need;
use crate::jitter::Jitter;
use crate::row::Row;
use crate::search::{self, Candidate, Ends, Part, Search};
use crate::shortage::Shortage;
use crate::shortlist::{self, Holder};
use crate::target::Stage;
use crate::unseen::{self, Flow};
use crate::{Now, Result};
use catalog::endpoint::{Run, Span};
use catalog::engine::Engine;
use catalog::service::Service;
use rand::RngExt;
use std::time::Duration;

/// The rows that a search looks at, by their indexes.
pub(super) struct Shortlist<'a> {
    pub(super) rows: &'a [usize],
    /// Part of the usable rows that these are.
    pub(super) part: f64,
}

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
        let usable = self.usable(usable);
        if usable.is_empty() {
            return Err(Shortage::Endpoints);
        }
        self.over_shortlist(engine, &usable, |listed| {
            let rows = self.candidates(now, flow.stay(), listed.rows);
            self.place(now, engine, need, rows, flow.scaled(listed.part), draw)
        })
    }

    /// Looks for a chain among few of the usable rows, and among all of them if these few have none.
    pub(super) fn over_shortlist(
        &self,
        engine: &Engine,
        usable: &[usize],
        find: impl Fn(Shortlist<'_>) -> Result<Vec<Part>>,
    ) -> Result<Vec<Part>> {
        let all = Shortlist {
            rows: usable,
            part: 1.0,
        };
        let few = self.shortlist(engine, usable);
        if few.len() == usable.len() {
            return find(all);
        }
        let part = few.len() as f64 / usable.len() as f64;
        find(Shortlist { rows: &few, part }).or_else(|_| find(all))
    }

    /// A few of these rows, drawn anew for each request.
    fn shortlist(&self, engine: &Engine, usable: &[usize]) -> Vec<usize> {
        let holder = |&row: &usize| Holder {
            span: self.rows[row].endpoint.span,
            zone: self.rows[row].zone,
        };
        let holders: Vec<Holder> = usable.iter().map(holder).collect();
        let few = shortlist::draw(&mut self.rng.clone(), engine.layers, &holders);
        few.into_iter().map(|at| usable[at]).collect()
    }

    /// Indexes of the rows that may be used.
    pub(super) fn usable(&self, usable: impl Fn(&Row) -> bool) -> Vec<usize> {
        let rows = self.rows.iter().enumerate();
        let rows = rows.filter(|(_, row)| usable(row));
        rows.map(|(index, _)| index).collect()
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
        let stay = flow.stay();
        let others = flow.others(now, self.choosers(), lag(now, &rows));
        let tokens = need.tokens() * others / f64::from(unseen::PARTS);
        unseen::after(
            &mut rows,
            parts,
            |rows| self.search(now, engine, stay, rows).chain(need),
            |rows, chain| search::load(rows, chain, tokens),
        )
    }

    /// A search for a whole chain.
    pub(super) fn search<'a>(
        &'a self,
        now: Now,
        engine: &'a Engine,
        stay: Duration,
        rows: &'a [Candidate<'a>],
    ) -> Search<'a> {
        Search {
            engine,
            span: Span {
                from: 0,
                to: engine.layers,
            },
            ends: Ends::default(),
            rows,
            zones: &self.zones,
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

    /// Hops of a chain between availability zones, as far as its endpoints are known.
    pub fn crossings(&self, stages: &[Stage]) -> u32 {
        let zones: Vec<usize> = stages.iter().filter_map(|s| self.zone_of(s)).collect();
        zones.windows(2).filter(|hop| hop[0] != hop[1]).count() as u32
    }

    /// The zone of a stage's endpoint, if it is still known.
    pub(super) fn zone_of(&self, stage: &Stage) -> Option<usize> {
        self.index.get(&stage.run).map(|&at| self.rows[at].zone)
    }

    /// The endpoints that a stage may run on, each with its chance factor.
    pub(super) fn candidates(
        &self,
        now: Now,
        stay: Duration,
        rows: &[usize],
    ) -> Vec<Candidate<'_>> {
        // A generator of its own, since the table is borrowed by the candidates.
        let mut rng = self.rng.clone();
        let nodes = self.nodes();
        let jitter = Jitter::new(&mut rng, self.choosers(), self.zones.len());
        let candidate = |&index: &usize| {
            let row = &self.rows[index];
            Candidate {
                index,
                row,
                used: row.used(now, nodes, stay),
                factor: jitter.row(&mut rng, row.zone),
                backlog: 0.0,
            }
        };
        rows.iter().map(candidate).collect()
    }
}

/// Mean age of the reports by which these are chosen.
fn lag(now: Now, rows: &[Candidate<'_>]) -> Duration {
    let ages = rows.iter().filter_map(|c| c.row.known.map(|k| k.age(now)));
    let (count, sum) = ages.fold((0, Duration::ZERO), |(n, sum), age| (n + 1, sum + age));
    sum.checked_div(count).unwrap_or_default()
}
