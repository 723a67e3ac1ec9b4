//! The table of endpoints and the choice of a target.

mod chain;
mod departing;
mod reroute;

use crate::budget::{Allowance, Budget};
use crate::chain::Need;
use crate::fleet::Fleet;
use crate::health::Outcome;
use crate::link::Links;
use crate::row::Row;
use crate::scarcity::Scarcity;
use crate::search::{self, Segment};
use crate::shortage::Shortage;
use crate::target::{ReservationId, Stage, Target};
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
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// What an attempt holds at one endpoint.
#[derive(Clone, Debug)]
struct Share {
    run: Run,
    addr: SocketAddr,
    /// Room in tokens times layers.
    reserved: f64,
}

/// What an attempt holds.
#[derive(Clone, Debug)]
struct Reservation {
    began: Timestamp,
    shares: Vec<Share>,
}

/// The state of one worker.
///
/// Invariant: what a row has flying and held is the sum over the attempts that are not ended.
pub struct Selector {
    fleet: Fleet,
    allowance: Allowance,
    rows: Vec<Row>,
    index: HashMap<Run, usize>,
    zones: Vec<String>,
    reservations: BTreeMap<ReservationId, Reservation>,
    budgets: BTreeMap<String, Budget>,
    links: Links,
    /// By the name of a model service.
    flows: BTreeMap<String, Flow>,
    transitions: Vec<Transition>,
    next_reservation: ReservationId,
    rng: ChaCha8Rng,
}

impl Selector {
    /// A worker that knows no endpoint yet; its draws follow `seed`.
    pub fn new(seed: u64, allowance: Allowance) -> Self {
        Self {
            fleet: Fleet::default(),
            allowance,
            rows: Vec::new(),
            index: HashMap::new(),
            zones: Vec::new(),
            reservations: BTreeMap::new(),
            budgets: BTreeMap::new(),
            links: Links::default(),
            flows: BTreeMap::new(),
            transitions: Vec::new(),
            next_reservation: 1,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Takes a new view of the outside; what is under way at endpoints that stay is kept.
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
                None => Row::new(endpoint.clone(), zone),
            };
            if let Some(engine) = engine_of(&fleet, &endpoint.service) {
                row.apply_engine(engine);
            }
            let run = endpoint.run.to_string();
            row.reported_failed = fleet.reported_failed.contains(&run);
            row.releasing = fleet.releasing.contains(&run);
            if let Some(load) = fleet.loads.get(&run) {
                row.update_load(now, *load);
            }
            self.index.insert(endpoint.run.clone(), self.rows.len());
            self.rows.push(row);
        }
        self.fleet = fleet;
    }

    /// Nodes that send requests, as a factor.
    fn nodes(&self) -> f64 {
        self.fleet.nodes.max(1) as f64
    }

    /// Nodes that choose as this one does, as a factor.
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

    /// A target for a request of `service` that was not sent to any of `tried`.
    pub fn select(
        &mut self,
        now: Timestamp,
        service: ServiceId,
        need: &Need,
        tried: &[Run],
    ) -> Result<Target> {
        let segments = self.choose(now, service, need, tried)?;
        let catalog = self.fleet.catalog.clone();
        let engine = catalog.service(service).and_then(|s| s.engine.as_ref());
        let Some(engine) = engine else {
            return Ok(self.reserve(now, &segments, 0.0));
        };
        let zones: Vec<usize> = segments.iter().map(|s| self.rows[s.row].zone).collect();
        self.record_hops(now, &zones, search::bits(engine, need));
        Ok(self.reserve(now, &segments, need.tokens()))
    }

    /// Whether there is such a target. Nothing is taken, neither room nor a part of a pipe: those
    /// that only ask, again and again while an answer is silent, would look like load.
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
            None => self
                .least_loaded(now, service, tried)
                .map(|segment| vec![segment]),
        }
    }

    /// The endpoint with the least under way; among equals a random one.
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
            if row.in_flight > row.endpoint.slots.max(1) * MAX_IN_FLIGHT_PER_SLOT {
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

    fn reserve(&mut self, now: Timestamp, segments: &[Segment], tokens: f64) -> Target {
        let reservation = self.next_reservation;
        self.next_reservation += 1;
        // The next request draws other factors than this one.
        self.rng.set_stream(self.next_reservation);
        let (shares, stages) = self.reserve_segments(segments, tokens);
        let began = now;
        self.reservations
            .insert(reservation, Reservation { began, shares });
        Target {
            reservation,
            stages,
        }
    }

    /// Takes room at endpoints.
    fn reserve_segments(&mut self, segments: &[Segment], tokens: f64) -> (Vec<Share>, Vec<Stage>) {
        let reserve = |segment: &Segment| {
            let row = &mut self.rows[segment.row];
            let capacity = tokens * f64::from(segment.span.len());
            row.in_flight += 1;
            row.reserved += capacity;
            let share = Share {
                run: row.endpoint.run.clone(),
                addr: row.endpoint.addr,
                reserved: capacity,
            };
            let stage = Stage {
                run: row.endpoint.run.clone(),
                addr: row.endpoint.addr,
                span: segment.span,
            };
            (share, stage)
        };
        segments.iter().map(reserve).unzip()
    }

    /// Gives room back.
    fn release(&mut self, share: &Share) {
        let Some(&at) = self.index.get(&share.run) else {
            return;
        };
        let row = &mut self.rows[at];
        row.in_flight = row.in_flight.saturating_sub(1);
        row.reserved = match row.in_flight {
            0 => 0.0,
            _ => (row.reserved - share.reserved).max(0.0),
        };
    }

    /// An attempt ended; `blame` is the endpoint that it is about, if it is known, or else the
    /// outcome counts for all stages (good) or for the first (anything else).
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

    /// Takes in how long an attempt stayed if it ended well.
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

    /// Takes an endpoint out of use for a while, by its address: an engine named it as the one
    /// that its chain waits for. The engine's word counts more than an attempt that failed, so the
    /// others are told at once.
    pub fn report_failed(&mut self, now: Timestamp, addr: SocketAddr) {
        self.record_at(now, addr, 1, |_| Outcome::Failed);
    }

    /// Takes in that a head named an endpoint as missing from its chain, by its address.
    pub fn report_missing(&mut self, now: Timestamp, addr: SocketAddr) {
        let nodes = self.nodes();
        self.record_at(now, addr, FAILURES_TO_PUBLISH, |row| {
            row.judge_missing(now, nodes)
        });
    }

    /// Takes in what is said now of the endpoint at an address; see [`record_outcome`].
    fn record_at(
        &mut self,
        now: Timestamp,
        addr: SocketAddr,
        min_failures: u32,
        outcome: impl Fn(&mut Row) -> Outcome,
    ) {
        let rows = self.rows.iter_mut().filter(|r| r.endpoint.addr == addr);
        let transitions = rows.filter_map(|row| {
            let outcome = outcome(row);
            record_outcome(row, now, now, outcome, min_failures)
        });
        self.transitions.extend(transitions);
    }

    /// What the other nodes should know, since the last call.
    pub fn take_transitions(&mut self) -> Vec<Transition> {
        std::mem::take(&mut self.transitions)
    }

    /// A first attempt for `service` was made.
    pub fn record_request(&mut self, now: Timestamp, service: &str) {
        if let Some(engine) = engine_of(&self.fleet, service) {
            let flow = self.flows.entry(service.to_owned());
            flow.or_insert_with(|| Flow::new(engine.residence_time()))
                .record_arrival(now);
        }
        let allowance = self.allowance;
        self.budget(service).record_request(now, &allowance);
    }

    /// Takes one further attempt for `service` out of the budget, if there is one.
    pub fn try_retry(&mut self, now: Timestamp, service: &str) -> bool {
        let nodes = self.fleet.budget_nodes.max(self.fleet.nodes);
        let allowance = self.allowance;
        self.budget(service).try_retry(now, &allowance, nodes)
    }

    /// Whether the budget has a further attempt for `service` left.
    pub fn can_retry(&mut self, now: Timestamp, service: &str) -> bool {
        let nodes = self.fleet.budget_nodes.max(self.fleet.nodes);
        let allowance = self.allowance;
        self.budget(service).can_retry(now, &allowance, nodes)
    }

    fn budget(&mut self, service: &str) -> &mut Budget {
        self.budgets.entry(service.to_owned()).or_default()
    }

    /// What is scarce for requests of a service.
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

    /// Attempts that are not ended.
    pub fn in_flight(&self) -> usize {
        self.reservations.len()
    }

    /// The rows, for dumps and tests.
    pub fn rows(&self) -> &[Row] {
        &self.rows
    }
}

/// Requests of this node at a plain endpoint, as a multiple of its slots, from which on it counts
/// as full: more would wait longer than they would take elsewhere later.
const MAX_IN_FLIGHT_PER_SLOT: u32 = 3;

/// Failures in a row from which an endpoint is told of. One may be the request's or the way's.
const FAILURES_TO_PUBLISH: u32 = 2;

/// Takes in how an attempt ended; what the other nodes should know of it. They are told of an endpoint
/// that failed `least` times in a row.
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

/// The text for the dump.
impl fmt::Display for Selector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "attempts {} nodes {}",
            self.reservations.len(),
            self.fleet.nodes
        )?;
        for row in &self.rows {
            let endpoint = &row.endpoint;
            write!(
                f,
                "endpoint {} {} {}",
                endpoint.run, endpoint.addr, endpoint.service
            )?;
            write!(
                f,
                " {:?} layers {} flying {}",
                endpoint.state, endpoint.span, row.in_flight
            )?;
            writeln!(
                f,
                " held {:.0} of {:.0} failures {}",
                row.reserved,
                row.capacity,
                row.health.failures()
            )?;
        }
        Ok(())
    }
}
