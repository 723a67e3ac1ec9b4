//! Selection of a chain.

use super::Selector;
use crate::chain::Need;
use crate::jitter::Jitter;
use crate::prefill::pricing::Pricing;
use crate::queue::reserve::Reserve;
use crate::row::Row;
use crate::search::{self, Candidate, Neighbors, Search, Segment};
use crate::shortage::Shortage;
use crate::shortlist::{self, Holder};
use crate::target::Stage;
use crate::unreported::{self, Flow};
use crate::{Result, Timestamp};
use catalog::endpoint::{Run, Span};
use catalog::engine::Engine;
use catalog::service::Service;
use rand::RngExt;
use std::time::Duration;

/// Sample of the rows, which a search examines.
pub(super) struct Shortlist<'a> {
    pub(super) rows: &'a [usize],
    /// Fraction of the usable rows that the sample contains.
    pub(super) fraction: f64,
}

/// What a chain is selected for.
struct Request<'a> {
    engine: &'a Engine,
    need: &'a Need,
    /// Pricing of prefill; `None` if it has no price in the service.
    prefill: Option<Pricing>,
    /// Capacity that is left free for urgent requests.
    reserve: Option<Reserve>,
}

impl Selector {
    /// Selects a chain for a request of a model service, without the endpoints in `tried`.
    pub(super) fn chain(
        &mut self,
        now: Timestamp,
        service: &Service,
        engine: &Engine,
        need: &Need,
        tried: &[Run],
    ) -> Result<Vec<Segment>> {
        let increments = self.rng.random_range(0..unreported::INCREMENTS);
        let usable = self.rows_where(|row| {
            let endpoint = &row.endpoint;
            endpoint.service == service.name
                && row.is_available(now)
                && !tried.contains(&endpoint.run)
        });
        let found = self.chain_of(now, service, engine, need, &usable, increments);
        found.map_err(|shortage| {
            let residence = self.flow(service, engine).residence();
            self.attribute(now, shortage, &service.name, tried, |rows, at| {
                let candidates = self.candidates(now, residence, rows);
                let search = self.search(at, engine, residence, &candidates);
                search.cheapest_chain(need).map(|_| ())
            })
        })
    }

    /// Returns the cheapest chain of the usable rows.
    fn chain_of(
        &self,
        now: Timestamp,
        service: &Service,
        engine: &Engine,
        need: &Need,
        usable: &[usize],
        increments: u32,
    ) -> Result<Vec<Segment>> {
        let flow = self.flow(service, engine);
        if usable.is_empty() {
            return Err(Shortage::Endpoints);
        }
        let request = Request {
            engine,
            need,
            prefill: self.prefill_pricing(&service.name, engine, flow.residence(), need),
            reserve: self.urgent_reserve(now, service, engine, need, usable),
        };
        self.search_shortlist(engine, usable, |listed| {
            let candidates = self.candidates(now, flow.residence(), listed.rows);
            self.chain_after_others(
                now,
                &request,
                candidates,
                flow.scaled(listed.fraction),
                increments,
            )
        })
    }

    /// Searches a sample of the usable rows, and all of them if the sample contains no chain.
    pub(super) fn search_shortlist(
        &self,
        engine: &Engine,
        usable: &[usize],
        find: impl Fn(Shortlist<'_>) -> Result<Vec<Segment>>,
    ) -> Result<Vec<Segment>> {
        let all = Shortlist {
            rows: usable,
            fraction: 1.0,
        };
        let few = self.shortlist(engine, usable);
        if few.len() == usable.len() {
            return find(all);
        }
        let fraction = few.len() as f64 / usable.len() as f64;
        find(Shortlist {
            rows: &few,
            fraction,
        })
        .or_else(|_| find(all))
    }

    /// Returns a sample of these rows, drawn anew for each request.
    fn shortlist(&self, engine: &Engine, usable: &[usize]) -> Vec<usize> {
        let holder = |&row: &usize| Holder {
            span: self.rows[row].endpoint.span,
            zone: self.rows[row].zone,
        };
        let holders: Vec<Holder> = usable.iter().map(holder).collect();
        let sample = shortlist::sample(&mut self.rng.clone(), engine.layers, &holders);
        sample.into_iter().map(|at| usable[at]).collect()
    }

    /// Returns the indexes of the rows that satisfy a predicate.
    pub(super) fn rows_where(&self, predicate: impl Fn(&Row) -> bool) -> Vec<usize> {
        let rows = self.rows.iter().enumerate();
        let rows = rows.filter(|(_, row)| predicate(row));
        rows.map(|(index, _)| index).collect()
    }

    /// Returns the cheapest chain after `increments` simulated placements of other nodes'
    /// unreported requests.
    fn chain_after_others(
        &self,
        now: Timestamp,
        request: &Request<'_>,
        mut candidates: Vec<Candidate<'_>>,
        flow: Flow,
        increments: u32,
    ) -> Result<Vec<Segment>> {
        let residence = flow.residence();
        let others = flow.others_in_flight(
            now,
            self.selecting_nodes(),
            mean_report_age(now, &candidates),
        );
        let tokens = request.need.tokens() * others / f64::from(unreported::INCREMENTS);
        unreported::assign_incrementally(
            &mut candidates,
            increments,
            |candidates| {
                let search = Search {
                    prefill: request.prefill,
                    reserve: request.reserve.as_ref(),
                    ..self.search(now, request.engine, residence, candidates)
                };
                search.cheapest_chain(request.need)
            },
            |candidates, chain| search::add_load(candidates, chain, tokens),
        )
    }

    /// Creates a search for a chain over all layers.
    pub(super) fn search<'a>(
        &'a self,
        now: Timestamp,
        engine: &'a Engine,
        residence: Duration,
        candidates: &'a [Candidate<'a>],
    ) -> Search<'a> {
        Search {
            engine,
            span: Span {
                from: 0,
                to: engine.layers,
            },
            neighbors: Neighbors::default(),
            candidates,
            zones: &self.zones,
            nodes: self.nodes(),
            links: &self.links,
            queues: None,
            reserve: None,
            residence,
            prefill: None,
            now,
        }
    }

    /// Returns the flow of requests of a model service.
    pub(super) fn flow(&self, service: &Service, engine: &Engine) -> Flow {
        let flow = self.flows.get(&service.name);
        flow.copied().unwrap_or(Flow::new(engine.residence_time()))
    }

    /// Records the transfer of `bits` over the link between each pair of consecutive zones.
    pub(super) fn record_hops(&mut self, now: Timestamp, zones: &[usize], bits: f64) {
        let hops = zones.windows(2).filter(|hop| hop[0] != hop[1]);
        hops.for_each(|hop| self.links.record(now, hop[0], hop[1], bits));
    }

    /// Returns the number of hops of a chain between availability zones; endpoints that are no
    /// longer known are left out.
    pub fn crossings(&self, stages: &[Stage]) -> u32 {
        let zones: Vec<usize> = stages.iter().filter_map(|s| self.zone_of(s)).collect();
        zones.windows(2).filter(|hop| hop[0] != hop[1]).count() as u32
    }

    /// Returns the index of the zone of a stage's endpoint, if the endpoint is still known.
    pub(super) fn zone_of(&self, stage: &Stage) -> Option<usize> {
        self.index.get(&stage.run).map(|&at| self.rows[at].zone)
    }

    /// Returns the candidates for a search, each with its random price factor.
    pub(super) fn candidates(
        &self,
        now: Timestamp,
        residence: Duration,
        rows: &[usize],
    ) -> Vec<Candidate<'_>> {
        // Use a copy of the generator, since the candidates borrow the table.
        let mut rng = self.rng.clone();
        let nodes = self.nodes();
        let jitter = Jitter::new(&mut rng, self.selecting_nodes(), self.zones.len());
        let candidate = |&index: &usize| {
            let row = &self.rows[index];
            Candidate {
                index,
                row,
                used: row.used(now, nodes, residence),
                price_factor: jitter.factor(&mut rng, row.zone),
                backlog_secs: 0.0,
                prefill_secs: row.prefill.remaining_secs(now),
            }
        };
        rows.iter().map(candidate).collect()
    }
}

/// Returns the mean age of the load reports of the candidates.
fn mean_report_age(now: Timestamp, candidates: &[Candidate<'_>]) -> Duration {
    mean_age(now, candidates.iter().map(|c| c.row))
}

/// Returns the mean age of the load reports of these rows.
pub(super) fn mean_age<'a>(now: Timestamp, rows: impl Iterator<Item = &'a Row>) -> Duration {
    let ages = rows.filter_map(|row| row.load.map(|l| l.age(now)));
    let (count, sum) = ages.fold((0, Duration::ZERO), |(n, sum), age| (n + 1, sum + age));
    sum.checked_div(count).unwrap_or_default()
}
