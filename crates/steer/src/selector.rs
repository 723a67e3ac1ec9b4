//! Table of endpoints and selection of targets.

mod chain;
mod departing;
mod dump;
mod evacuate;
mod limited;
mod moves;
mod others;
mod prefill;
mod reached;
mod reported;
mod reroute;
mod reserve;
mod resting;
mod urgent;

use crate::budget::{Allowance, Budget, Purpose};
use crate::chain::Need;
use crate::departures::Departures;
use crate::evacuation::queues::OwnMoves;
use crate::fleet::Fleet;
use crate::health::Outcome;
use crate::limit::Limit;
use crate::link::Links;
use crate::queue::reserve::UrgentDemand;
use crate::rest::Rest;
use crate::row::Row;
use crate::scarcity::Scarcity;
use crate::search::{self, Segment};
use crate::shortage::Shortage;
use crate::target::{ReservationId, Target};
use crate::transition::Transition;
use crate::unreported::Flow;
use crate::{Result, Timestamp};
use catalog::ServiceId;
use catalog::endpoint::{Run, Span};
use catalog::engine::Engine;
use catalog::service::Service;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// Capacity that an attempt reserves at one endpoint.
#[derive(Clone, Debug)]
struct Share {
    run: Run,
    addr: SocketAddr,
    /// Reserved capacity, in token-layers.
    reserved: f64,
}

/// Capacity that an attempt reserves at all its endpoints.
#[derive(Clone, Debug)]
struct Reservation {
    began: Timestamp,
    shares: Vec<Share>,
    /// Whether its prefill may overtake long prompts.
    overtakes: bool,
}

/// Selects the endpoints for the requests of one worker.
///
/// Invariant: the requests in flight and the reserved capacity of a row are the sums over the
/// attempts that have not ended.
pub struct Selector {
    fleet: Fleet,
    allowance: Allowance,
    rows: Vec<Row>,
    index: HashMap<Run, usize>,
    /// Rests of endpoints that the last fleet does not list.
    unlisted_rests: HashMap<Run, Rest>,
    /// Limits of endpoints that the last fleet does not list.
    unlisted_limits: HashMap<Run, Limit>,
    zones: Vec<String>,
    reservations: BTreeMap<ReservationId, Reservation>,
    budgets: BTreeMap<String, Budget>,
    links: Links,
    own_moves: OwnMoves,
    /// Flow of requests by the name of a model service.
    flows: BTreeMap<String, Flow>,
    /// Prefill by the name of a service that has a policy.
    prefills: BTreeMap<String, prefill::Prefill>,
    /// Urgent requests by the name of a service.
    urgent_demands: BTreeMap<String, UrgentDemand>,
    departures: Departures,
    transitions: Vec<Transition>,
    next_reservation: ReservationId,
    rng: ChaCha8Rng,
}

impl Selector {
    /// Creates a selector that knows no endpoints; `seed` determines its random draws.
    pub fn new(seed: u64, allowance: Allowance) -> Self {
        Self {
            fleet: Fleet::default(),
            allowance,
            rows: Vec::new(),
            index: HashMap::new(),
            unlisted_rests: HashMap::new(),
            unlisted_limits: HashMap::new(),
            zones: Vec::new(),
            reservations: BTreeMap::new(),
            budgets: BTreeMap::new(),
            links: Links::default(),
            own_moves: OwnMoves::default(),
            flows: BTreeMap::new(),
            prefills: BTreeMap::new(),
            urgent_demands: BTreeMap::new(),
            departures: Departures::default(),
            transitions: Vec::new(),
            next_reservation: 1,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Replaces the state of the fleet; the requests in flight at endpoints that remain are kept.
    pub fn update_fleet(&mut self, now: Timestamp, fleet: Fleet) {
        let mut previous: HashMap<Run, Row> = std::mem::take(&mut self.rows)
            .into_iter()
            .map(|r| (r.endpoint.run.clone(), r))
            .collect();
        self.index.clear();
        for endpoint in fleet.endpoints.iter() {
            let zone = self.zone_index(&endpoint.zone);
            let mut row = match previous.remove(&endpoint.run) {
                Some(row) => Row {
                    endpoint: endpoint.clone(),
                    zone,
                    ..row
                },
                None => Row {
                    rest: self.unlisted_rests.remove(&endpoint.run),
                    limit: self.unlisted_limits.remove(&endpoint.run),
                    ..Row::new(endpoint.clone(), zone)
                },
            };
            if let Some(engine) = engine_of(&fleet, &endpoint.service) {
                row.apply_engine(engine);
            }
            let run = endpoint.run.to_string();
            row.reported_failed = fleet.reported_failed.contains(&run);
            let ended = fleet.ended.contains(&run);
            row.ended_since = ended.then(|| row.ended_since.unwrap_or(now));
            row.releasing = fleet.releasing.contains(&run);
            if fleet.leaving.contains(&run) {
                self.record_leaving(now, &endpoint.run, endpoint.addr);
            }
            row.leaving = self.departures.contains(&endpoint.run);
            if let Some(load) = fleet.loads.get(&run) {
                row.update_load(now, *load);
            }
            self.index.insert(endpoint.run.clone(), self.rows.len());
            self.rows.push(row);
        }
        self.own_moves.expire(now);
        let index = &self.index;
        self.departures.expire(now, |run| index.contains_key(run));
        self.keep_limits(now, &previous);
        self.keep_rests(now, previous);
        self.fleet = fleet;
        self.update_prefill_policies();
    }

    /// Returns the number of nodes that send requests, at least 1.
    fn nodes(&self) -> f64 {
        self.fleet.nodes.max(1) as f64
    }

    /// Returns the number of nodes that select by the same reports, at least 1.
    fn selecting_nodes(&self) -> f64 {
        self.fleet.selecting_nodes.max(self.fleet.nodes).max(1) as f64
    }

    fn zone_index(&mut self, name: &str) -> usize {
        let known = self.zones.iter().position(|z| z == name);
        known.unwrap_or_else(|| {
            self.zones.push(name.to_owned());
            self.zones.len() - 1
        })
    }

    /// Selects a target for a request of `service`, without the endpoints in `tried`, and reserves
    /// its capacity.
    ///
    /// # Errors
    ///
    /// Returns a [`Shortage`] if no endpoint or chain can take the request now.
    pub fn select(
        &mut self,
        now: Timestamp,
        service: ServiceId,
        need: &Need,
        tried: &[Run],
    ) -> Result<Target> {
        let segments = self.choose(now, service, need, tried)?;
        let catalog = self.fleet.catalog.clone();
        let service = catalog.service(service);
        let Some((service, engine)) = service.and_then(|s| Some((s, s.engine.as_ref()?))) else {
            return Ok(self.reserve(now, &segments, 0.0));
        };
        let zones: Vec<usize> = segments.iter().map(|s| self.rows[s.row].zone).collect();
        self.record_hops(now, &zones, search::bits(engine, need));
        let target = self.reserve(now, &segments, need.tokens());
        let attempt = target.reservation;
        self.begin_prefill(now, &service.name, engine, need, attempt, &segments);
        Ok(target)
    }

    /// Returns whether [`Self::select`] would find a target. It reserves neither endpoint nor link
    /// capacity: repeated checks while an answer is idle would otherwise count as load.
    pub fn can_select(
        &mut self,
        now: Timestamp,
        service: ServiceId,
        need: &Need,
        tried: &[Run],
    ) -> Result<()> {
        self.choose(now, service, need, tried).map(|_| ())
    }

    fn choose(
        &mut self,
        now: Timestamp,
        service: ServiceId,
        need: &Need,
        tried: &[Run],
    ) -> Result<Vec<Segment>> {
        let catalog = self.fleet.catalog.clone();
        let service = catalog.service(service).ok_or(Shortage::Endpoints)?;
        match &service.engine {
            Some(engine) => self.chain(now, service, engine, need, tried),
            None => {
                let found = self.least_loaded(now, service, tried);
                found.map(|segment| vec![segment]).map_err(|shortage| {
                    self.attribute(now, shortage, &service.name, tried, |rows, _| {
                        rows.first().map(|_| ()).ok_or(shortage)
                    })
                })
            }
        }
    }

    /// Selects the endpoint with the fewest requests in flight, at random among equals.
    fn least_loaded(
        &mut self,
        now: Timestamp,
        service: &Service,
        tried: &[Run],
    ) -> Result<Segment> {
        let mut known = false;
        let mut found: Option<(u32, u32, usize)> = None;
        let mut full = false;
        for (at, row) in self.rows.iter().enumerate() {
            if row.endpoint.service != service.name || tried.contains(&row.endpoint.run) {
                continue;
            }
            known = true;
            if !row.is_available(now) {
                continue;
            }
            if row.in_flight
                > row
                    .endpoint
                    .slots
                    .max(1)
                    .saturating_mul(MAX_IN_FLIGHT_PER_SLOT)
            {
                full = true;
                continue;
            }
            let key = (row.in_flight, self.rng.random::<u32>(), at);
            if found.is_none_or(|f| key < f) {
                found = Some(key);
            }
        }
        let Some((_, _, at)) = found else {
            let shortage = match known && full {
                true => Shortage::Capacity,
                false => Shortage::Endpoints,
            };
            return Err(shortage);
        };
        Ok(Segment {
            row: at,
            span: Span::default(),
        })
    }

    /// Ends an attempt. If `blame` is the address of an endpoint of the attempt, the outcome counts
    /// for that endpoint only. Without it, a success counts for all stages and any other outcome
    /// for the first one.
    pub fn end(
        &mut self,
        now: Timestamp,
        id: ReservationId,
        outcome: Outcome,
        blame: Option<SocketAddr>,
    ) {
        let Some(reservation) = self.reservations.remove(&id) else {
            return;
        };
        self.record_residence(now, &reservation, outcome);
        let nodes = self.nodes();
        for (number, share) in reservation.shares.iter().enumerate() {
            self.release(share);
            let Some(&at) = self.index.get(&share.run) else {
                continue;
            };
            let row = &mut self.rows[at];
            row.prefill.end(id);
            let concerned = match (blame, outcome) {
                (Some(addr), _) => addr == share.addr,
                (None, Outcome::Success) => true,
                (None, _) => number == 0,
            };
            if concerned {
                let outcome = match outcome {
                    Outcome::Missing => row.judge_missing(now, nodes),
                    other => other,
                };
                self.transitions.extend(record_outcome(
                    row,
                    now,
                    reservation.began,
                    outcome,
                    FAILURES_TO_PUBLISH,
                ));
            }
        }
    }

    /// Records the residence time of an attempt that succeeded.
    fn record_residence(&mut self, now: Timestamp, reservation: &Reservation, outcome: Outcome) {
        if outcome != Outcome::Success {
            return;
        }
        let run = reservation
            .shares
            .first()
            .and_then(|p| self.index.get(&p.run));
        let service = run.map(|&at| &self.rows[at].endpoint.service);
        let flow = service.and_then(|s| self.flows.get_mut(s));
        if let Some(flow) = flow {
            flow.record_residence(now.saturating_sub(reservation.began));
        }
    }

    /// Returns the transitions to report to the control task since the last call.
    pub fn take_transitions(&mut self) -> Vec<Transition> {
        std::mem::take(&mut self.transitions)
    }

    /// Records the first attempt of a request for `service`.
    pub fn record_request(&mut self, now: Timestamp, service: &str) {
        if let Some(engine) = engine_of(&self.fleet, service) {
            let flow = self.flows.entry(service.to_owned());
            flow.or_insert_with(|| Flow::new(engine.residence_time()))
                .record_arrival(now);
        }
        let allowance = self.allowance;
        self.budget(service).record_request(now, &allowance);
    }

    /// Takes one retry for `service` from the retry budget; returns whether one was left.
    pub fn try_retry(&mut self, now: Timestamp, service: &str, purpose: Purpose) -> bool {
        let nodes = self.fleet.budget_nodes.max(self.fleet.nodes);
        let allowance = self.allowance;
        self.budget(service)
            .try_retry(now, &allowance, nodes, purpose)
    }

    /// Returns whether the retry budget has a retry left for `service`.
    pub fn can_retry(&mut self, now: Timestamp, service: &str, purpose: Purpose) -> bool {
        let nodes = self.fleet.budget_nodes.max(self.fleet.nodes);
        let allowance = self.allowance;
        self.budget(service)
            .can_retry(now, &allowance, nodes, purpose)
    }

    fn budget(&mut self, service: &str) -> &mut Budget {
        self.budgets.entry(service.to_owned()).or_default()
    }

    /// Returns the scarce resources of a service.
    pub fn scarcity(&self, now: Timestamp, service: ServiceId) -> Scarcity {
        let Some(service) = self.fleet.catalog.service(service) else {
            return Scarcity::default();
        };
        let nodes = self.nodes();
        let rows = self.rows.iter();
        let rows: Vec<&Row> = rows
            .filter(|r| r.endpoint.service == service.name)
            .collect();
        let Some(engine) = &service.engine else {
            return Scarcity::measure(now, nodes, Duration::ZERO, &rows, 0);
        };
        let residence = self.flow(service, engine).residence();
        Scarcity {
            link: self.links.max_rate(now) * nodes / engine.inter_zone_bps.max(1.0),
            ..Scarcity::measure(now, nodes, residence, &rows, engine.layers)
        }
    }

    /// Returns the number of attempts that have not ended.
    pub fn in_flight(&self) -> usize {
        self.reservations.len()
    }

    /// Returns the rows of the table, for dumps and tests.
    pub fn rows(&self) -> &[Row] {
        &self.rows
    }
}

/// Number of requests of this node at a plain endpoint, as a multiple of its slots, above which the
/// endpoint counts as full: a further request would wait longer there than if another endpoint took
/// it later.
const MAX_IN_FLIGHT_PER_SLOT: u32 = 3;

/// Number of consecutive failures after which a failure is published. A single one may be due to
/// the request or to the network.
const FAILURES_TO_PUBLISH: u32 = 2;

/// Records the outcome of an attempt, and returns the health transition to publish, if any. A
/// failure is published from `min_failures` consecutive failures on.
fn record_outcome(
    row: &mut Row,
    now: Timestamp,
    began: Timestamp,
    outcome: Outcome,
    min_failures: u32,
) -> Option<Transition> {
    let before = row.health.failures();
    if outcome == Outcome::Success {
        row.suspected_since = None;
    }
    row.health.record(now, began, outcome);
    let after = row.health.failures();
    let run = || row.endpoint.run.clone();
    match outcome {
        Outcome::Failed if after > before && after >= min_failures => {
            row.failure_published = true;
            Some(Transition::Down(run()))
        }
        Outcome::Success if std::mem::take(&mut row.failure_published) => {
            Some(Transition::Up(run()))
        }
        _ => None,
    }
}

fn engine_of<'a>(fleet: &'a Fleet, service: &str) -> Option<&'a Engine> {
    let services = fleet.catalog.services.iter();
    let mut found = services.filter(|s| s.name == service);
    found.next()?.engine.as_ref()
}
