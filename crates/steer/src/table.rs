//! The table of endpoints and the choice of a target.

mod chain;
mod depart;
mod detour;

use crate::budget::{Allowance, Budget};
use crate::chain::Need;
use crate::fleet::Fleet;
use crate::health::Outcome;
use crate::note::Note;
use crate::pipe::Pipes;
use crate::row::Row;
use crate::scarcity::Scarcity;
use crate::search::{self, Part};
use crate::shortage::Shortage;
use crate::target::{Hold, Stage, Target};
use crate::unseen::Flow;
use crate::{Now, Result};
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
    held: f64,
}

/// What an attempt holds.
#[derive(Clone, Debug)]
struct Held {
    began: Now,
    parts: Vec<Share>,
}

/// The state of one worker.
///
/// Invariant: what a row has flying and held is the sum over the attempts that are not ended.
pub struct Steer {
    fleet: Fleet,
    allowance: Allowance,
    rows: Vec<Row>,
    index: HashMap<Run, usize>,
    zones: Vec<String>,
    holds: BTreeMap<Hold, Held>,
    budgets: BTreeMap<String, Budget>,
    pipes: Pipes,
    /// By the name of a model service.
    flows: BTreeMap<String, Flow>,
    notes: Vec<Note>,
    next: Hold,
    rng: ChaCha8Rng,
}

impl Steer {
    /// A worker that knows no endpoint yet; its draws follow `seed`.
    pub fn new(seed: u64, allowance: Allowance) -> Self {
        Self {
            fleet: Fleet::default(),
            allowance,
            rows: Vec::new(),
            index: HashMap::new(),
            zones: Vec::new(),
            holds: BTreeMap::new(),
            budgets: BTreeMap::new(),
            pipes: Pipes::default(),
            flows: BTreeMap::new(),
            notes: Vec::new(),
            next: 1,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Takes a new view of the outside; what is under way at endpoints that stay is kept.
    pub fn follow(&mut self, now: Now, fleet: Fleet) {
        let mut old: HashMap<Run, Row> = std::mem::take(&mut self.rows)
            .into_iter()
            .map(|r| (r.endpoint.run.clone(), r))
            .collect();
        self.index.clear();
        for endpoint in fleet.endpoints.iter() {
            let zone = self.zone(&endpoint.zone);
            let mut row = match old.remove(&endpoint.run) {
                Some(row) => Row {
                    endpoint: endpoint.clone(),
                    zone,
                    ..row
                },
                None => Row::new(endpoint.clone(), zone),
            };
            if let Some(engine) = engine(&fleet, &endpoint.service) {
                row.measure(engine);
            }
            let run = endpoint.run.to_string();
            row.accused = fleet.accused.contains(&run);
            row.moving = fleet.moving.contains(&run);
            if let Some(load) = fleet.loads.get(&run) {
                row.report(now, *load);
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
    fn choosers(&self) -> f64 {
        self.fleet.choosers.max(self.fleet.nodes).max(1) as f64
    }

    fn zone(&mut self, name: &str) -> usize {
        let known = self.zones.iter().position(|z| z == name);
        known.unwrap_or_else(|| {
            self.zones.push(name.to_owned());
            self.zones.len() - 1
        })
    }

    /// A target for a request of `service` that was not sent to any of `tried`.
    pub fn target(
        &mut self,
        now: Now,
        service: ServiceId,
        need: &Need,
        tried: &[Run],
    ) -> Result<Target> {
        let parts = self.choose(now, service, need, tried)?;
        let catalog = self.fleet.catalog.clone();
        let engine = catalog.service(service).and_then(|s| s.engine.as_ref());
        let Some(engine) = engine else {
            return Ok(self.hold(now, &parts, 0.0));
        };
        let zones: Vec<usize> = parts.iter().map(|p| self.rows[p.row].zone).collect();
        self.send(now, &zones, search::bits(engine, need));
        Ok(self.hold(now, &parts, need.tokens()))
    }

    /// Whether there is such a target. Nothing is taken, neither room nor a part of a pipe: those
    /// that only ask, again and again while an answer is silent, would look like load.
    pub fn could(
        &mut self,
        now: Now,
        service: ServiceId,
        need: &Need,
        tried: &[Run],
    ) -> Result<()> {
        self.choose(now, service, need, tried).map(|_| ())
    }

    fn choose(
        &mut self,
        now: Now,
        service: ServiceId,
        need: &Need,
        tried: &[Run],
    ) -> Result<Vec<Part>> {
        let catalog = self.fleet.catalog.clone();
        let service = catalog.service(service).ok_or(Shortage::Endpoints)?;
        match &service.engine {
            Some(engine) => self.chain(now, service, engine, need, tried),
            None => self.plain(now, service, tried).map(|part| vec![part]),
        }
    }

    /// The endpoint with the least under way; among equals a random one.
    fn plain(&mut self, now: Now, service: &Service, tried: &[Run]) -> Result<Part> {
        let mut known = false;
        let mut found: Option<(u32, u32, usize)> = None;
        let mut full = false;
        for (at, row) in self.rows.iter().enumerate() {
            if row.endpoint.service != service.name || tried.contains(&row.endpoint.run) {
                continue;
            }
            known = true;
            if !row.open(now) {
                continue;
            }
            if row.flying > row.endpoint.slots.max(1) * PLAIN_QUEUE {
                full = true;
                continue;
            }
            let key = (row.flying, self.rng.random::<u32>(), at);
            if found.is_none_or(|f| key < f) {
                found = Some(key);
            }
        }
        let Some((_, _, at)) = found else {
            let why = match known && full {
                true => Shortage::Room,
                false => Shortage::Endpoints,
            };
            return Err(why);
        };
        Ok(Part {
            row: at,
            span: Span::default(),
        })
    }

    fn hold(&mut self, now: Now, parts: &[Part], tokens: f64) -> Target {
        let hold = self.next;
        self.next += 1;
        // The next request draws other factors than this one.
        self.rng.set_stream(self.next);
        let (held, stages) = self.take(parts, tokens);
        let began = now;
        self.holds.insert(hold, Held { began, parts: held });
        Target { hold, stages }
    }

    /// Takes room at endpoints.
    fn take(&mut self, parts: &[Part], tokens: f64) -> (Vec<Share>, Vec<Stage>) {
        let take = |part: &Part| {
            let row = &mut self.rows[part.row];
            let room = tokens * f64::from(part.span.len());
            row.flying += 1;
            row.held += room;
            let share = Share {
                run: row.endpoint.run.clone(),
                addr: row.endpoint.addr,
                held: room,
            };
            let stage = Stage {
                run: row.endpoint.run.clone(),
                addr: row.endpoint.addr,
                span: part.span,
            };
            (share, stage)
        };
        parts.iter().map(take).unzip()
    }

    /// Gives room back.
    fn release(&mut self, share: &Share) {
        let Some(&at) = self.index.get(&share.run) else {
            return;
        };
        let row = &mut self.rows[at];
        row.flying = row.flying.saturating_sub(1);
        row.held = match row.flying {
            0 => 0.0,
            _ => (row.held - share.held).max(0.0),
        };
    }

    /// An attempt ended; `blame` is the endpoint that it is about, if it is known, or else the
    /// outcome counts for all stages (good) or for the first (anything else).
    pub fn end(&mut self, now: Now, hold: Hold, outcome: Outcome, blame: Option<SocketAddr>) {
        let Some(held) = self.holds.remove(&hold) else {
            return;
        };
        self.stayed(now, &held, outcome);
        let nodes = self.nodes();
        for (number, part) in held.parts.iter().enumerate() {
            self.release(part);
            let Some(&at) = self.index.get(&part.run) else {
                continue;
            };
            let row = &mut self.rows[at];
            let concerned = match (blame, outcome) {
                (Some(addr), _) => addr == part.addr,
                (None, Outcome::Good) => true,
                (None, _) => number == 0,
            };
            if concerned {
                let outcome = match outcome {
                    Outcome::Named => row.named(now, nodes),
                    other => other,
                };
                self.notes
                    .extend(judge(row, now, held.began, outcome, TOLD));
            }
        }
    }

    /// Takes in how long an attempt stayed if it ended well.
    fn stayed(&mut self, now: Now, held: &Held, outcome: Outcome) {
        if outcome != Outcome::Good {
            return;
        }
        let run = held.parts.first().and_then(|p| self.index.get(&p.run));
        let service = run.map(|&at| &self.rows[at].endpoint.service);
        let flow = service.and_then(|s| self.flows.get_mut(s));
        if let Some(flow) = flow {
            flow.ended(now.saturating_sub(held.began));
        }
    }

    /// Takes an endpoint out of use for a while, by its address: an engine named it as the one
    /// that its chain waits for. The engine's word counts more than an attempt that failed, so the
    /// others are told at once.
    pub fn accuse(&mut self, now: Now, addr: SocketAddr) {
        self.judge_at(now, addr, 1, |_| Outcome::Failed);
    }

    /// Takes in that a head named an endpoint as missing from its chain, by its address.
    pub fn named(&mut self, now: Now, addr: SocketAddr) {
        let nodes = self.nodes();
        self.judge_at(now, addr, TOLD, |row| row.named(now, nodes));
    }

    /// Takes in what is said now of the endpoint at an address; see [`judge`].
    fn judge_at(
        &mut self,
        now: Now,
        addr: SocketAddr,
        least: u32,
        outcome: impl Fn(&mut Row) -> Outcome,
    ) {
        let rows = self.rows.iter_mut().filter(|r| r.endpoint.addr == addr);
        let notes = rows.filter_map(|row| {
            let outcome = outcome(row);
            judge(row, now, now, outcome, least)
        });
        self.notes.extend(notes);
    }

    /// What the other nodes should know, since the last call.
    pub fn take_notes(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.notes)
    }

    /// A first attempt for `service` was made.
    pub fn first(&mut self, now: Now, service: &str) {
        if let Some(engine) = engine(&self.fleet, service) {
            let flow = self.flows.entry(service.to_owned());
            flow.or_insert_with(|| Flow::new(engine.stay())).came(now);
        }
        let allowance = self.allowance;
        self.budget(service).first(now, &allowance);
    }

    /// Takes one further attempt for `service` out of the budget, if there is one.
    pub fn again(&mut self, now: Now, service: &str) -> bool {
        let nodes = self.fleet.sharers.max(self.fleet.nodes);
        let allowance = self.allowance;
        self.budget(service).take(now, &allowance, nodes)
    }

    /// Whether the budget has a further attempt for `service` left.
    pub fn may_again(&mut self, now: Now, service: &str) -> bool {
        let nodes = self.fleet.sharers.max(self.fleet.nodes);
        let allowance = self.allowance;
        self.budget(service).left(now, &allowance, nodes)
    }

    fn budget(&mut self, service: &str) -> &mut Budget {
        self.budgets.entry(service.to_owned()).or_default()
    }

    /// What is scarce for requests of a service.
    pub fn scarcity(&self, now: Now, service: ServiceId) -> Scarcity {
        let Some(service) = self.fleet.catalog.service(service) else {
            return Scarcity::default();
        };
        let nodes = self.nodes();
        let rows = self.rows.iter();
        let rows: Vec<&Row> = rows
            .filter(|r| r.endpoint.service == service.name)
            .collect();
        let Some(engine) = &service.engine else {
            return Scarcity::of(now, nodes, Duration::ZERO, &rows, 0);
        };
        let stay = self.flow(service, engine).stay();
        Scarcity {
            pipe: self.pipes.most(now) * nodes / engine.pipe_bits.max(1.0),
            ..Scarcity::of(now, nodes, stay, &rows, engine.layers)
        }
    }

    /// Attempts that are not ended.
    pub fn flying(&self) -> usize {
        self.holds.len()
    }

    /// The rows, for dumps and tests.
    pub fn rows(&self) -> &[Row] {
        &self.rows
    }
}

/// Requests of this node at a plain endpoint, as a multiple of its slots, from which on it counts
/// as full: more would wait longer than they would take elsewhere later.
const PLAIN_QUEUE: u32 = 3;

/// Failures in a row from which an endpoint is told of. One may be the request's or the way's.
const TOLD: u32 = 2;

/// Takes in how an attempt ended; what the other nodes should know of it. They are told of an endpoint
/// that failed `least` times in a row.
fn judge(row: &mut Row, now: Now, began: Now, outcome: Outcome, least: u32) -> Option<Note> {
    let before = row.health.failures();
    if outcome == Outcome::Good {
        row.doubted = None;
    }
    row.health.ended(now, began, outcome);
    let after = row.health.failures();
    let run = || row.endpoint.run.clone();
    match outcome {
        Outcome::Failed if after > before && after >= least => {
            row.told = true;
            Some(Note::Down(run()))
        }
        Outcome::Good if std::mem::take(&mut row.told) => Some(Note::Up(run())),
        _ => None,
    }
}

fn engine<'a>(fleet: &'a Fleet, service: &str) -> Option<&'a Engine> {
    let services = fleet.catalog.services.iter();
    let mut found = services.filter(|s| s.name == service);
    found.next()?.engine.as_ref()
}

/// The text for the dump.
impl fmt::Display for Steer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "attempts {} nodes {}",
            self.holds.len(),
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
                endpoint.state, endpoint.span, row.flying
            )?;
            writeln!(
                f,
                " held {:.0} of {:.0} failures {}",
                row.held,
                row.room,
                row.health.failures()
            )?;
        }
        Ok(())
    }
}
