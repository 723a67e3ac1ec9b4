//! The router: events in, actions out.

use crate::Now;
use crate::action::{Action, Observation};
use crate::audit::Audit;
use crate::choose::locality::Locality;
use crate::crash;
use crate::event::Event;
use crate::finding::Finding;
use crate::fleet::Fleet;
use crate::flight::{Flight, Phase};
use crate::meter::Meter;
use crate::outcome::Outcome;
use crate::plan::Plan;
use crate::queue::Queue;
use crate::refusal::{Reason, Refusal};
use crate::report::Report;
use crate::request::{Id, Target};
use crate::retry::Budget;
use crate::settings::Settings;
use crate::share;
use crate::view::View;
use bundle::id::EndpointId;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

mod admit;
mod check;
mod dispatch;
mod dump;
mod eyes;
mod follow;
mod isolate;
mod launch;
mod pick;
mod progress;
mod recover;
mod tick;
mod verdict;

/// Requests above which debug builds check all invariants on ticks only.
const CHECKED: usize = 256;

/// Decisions of one request worker.
pub struct Router {
    seed: u64,
    limits: Settings,
    rng: ChaCha8Rng,
    view: Option<Arc<View>>,
    fleet: Fleet,
    plan: Plan,
    /// Number of the plan.
    epoch: u64,
    hoped: follow::Hope,
    locality: Locality,
    queue: Queue,
    shares: share::Table,
    budget: Budget,
    crash: crash::Table,
    flights: BTreeMap<Id, Flight>,
    /// Requests by deadline, until it passes.
    deadlines: BTreeSet<(Now, Id)>,
    /// Requests that wait for the budget or a probe; urgent ones first.
    parked: BTreeSet<(bool, u64, Id)>,
    meters: BTreeMap<Target, Meter>,
    wards: BTreeMap<Target, isolate::Ward>,
    /// Whether any endpoint may be kept for a suspect.
    guarded: bool,
    /// Endpoints under probe because a connection broke.
    broke: BTreeSet<EndpointId>,
    /// Endpoints that other nodes have ejected, as last told.
    told: Vec<EndpointId>,
    seq: u64,
    ticks: u64,
    /// When the last tick came.
    ticked: Now,
    /// Whether work that waits may now find a place.
    stirred: bool,
    /// Whether the plan is out of date.
    stale: bool,
    audit: Audit,
    findings: Vec<Finding>,
    report: Report,
    out: Vec<Action>,
}

impl Router {
    /// A router that knows nothing yet; its draws follow `seed`.
    pub fn new(seed: u64, limits: Settings) -> Self {
        Self {
            seed,
            rng: ChaCha8Rng::seed_from_u64(seed),
            view: None,
            fleet: Fleet::default(),
            plan: Plan::default(),
            epoch: 0,
            hoped: follow::Hope::default(),
            locality: Locality::new(limits.prefixes),
            queue: Queue::default(),
            shares: share::Table::default(),
            budget: Budget::new(limits.retry_burst),
            crash: crash::Table::new(limits.fingerprints),
            flights: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            parked: BTreeSet::new(),
            meters: BTreeMap::new(),
            wards: BTreeMap::new(),
            guarded: false,
            broke: BTreeSet::new(),
            told: Vec::new(),
            seq: 0,
            ticks: 0,
            ticked: Now::ZERO,
            stirred: false,
            stale: false,
            audit: Audit::default(),
            findings: Vec::new(),
            report: Report::default(),
            out: Vec::new(),
            limits,
        }
    }

    /// Handles one event; appends what is to be done to `out`. In debug builds a broken
    /// invariant panics; in release builds it is counted, and told by [`Router::verify`].
    pub fn handle(&mut self, now: Now, event: Event, out: &mut Vec<Action>) {
        self.audit.event(&event);
        let tick = matches!(event, Event::Tick);
        let left = matches!(event, Event::Left(_)).then(|| event.clone());
        self.decide(now, event);
        self.replan();
        let dispatched = self.stirred;
        if dispatched {
            self.dispatch(now);
            self.check_order();
        }
        let settled = dispatched && !self.stirred;
        self.replan();
        for action in &self.out {
            self.findings.extend(self.audit.action(action));
        }
        if let Some(left) = left {
            self.findings.extend(self.audit.settle(&left));
        }
        out.append(&mut self.out);
        if cfg!(debug_assertions) && (tick || self.flights.len() <= CHECKED) {
            let mut found = self.verify();
            found.extend(settled.then(|| self.overlooked(now)).into_iter().flatten());
            assert!(found.is_empty(), "broken invariants: {found:?}\n{self}");
        }
    }

    fn decide(&mut self, now: Now, event: Event) {
        match event {
            Event::View(view) => self.follow(now, view),
            Event::Arrive(request) => self.arrive(now, request),
            Event::Progress(id, attempt, hop) => self.progress(now, id, attempt, hop),
            Event::Token(id, attempt) => self.token(now, id, attempt),
            Event::Finished(id, attempt) => self.finished(now, id, attempt),
            Event::Failed(id, attempt, failure) => self.failed(now, id, attempt, &failure),
            Event::Left(id) => self.left(now, id),
            Event::Probed(endpoint, answered) => self.probed(now, endpoint, answered),
            Event::Load(endpoint, report) => {
                self.fleet
                    .get_mut(endpoint)
                    .into_iter()
                    .for_each(|r| r.report(now, &report));
            }
            Event::Tick => self.tick(now),
        }
    }

    /// Counters and gauges.
    pub fn report(&self) -> Report {
        let mut report = self.report;
        report.findings = self.findings.len() as u64;
        report.waiting_urgent = self.queue.urgent as u64;
        report.waiting = self.queue.fair as u64;
        report.parked = self.parked.len() as u64;
        report.running = self.running() as u64;
        report.out = self.fleet.rows.iter().filter(|r| !r.health.takes()).count() as u64;
        report.budget = self.budget.level();
        report.suspects = self.crash.counts().0 as u64;
        report.prefixes = self.locality.len() as u64;
        report
    }

    /// Accounts by team of the view's bundle.
    pub fn accounts(&self) -> &[crate::share::Account] {
        &self.shares.rows
    }

    fn running(&self) -> usize {
        self.flights.len() - self.parked.len() - self.queue.urgent - self.queue.fair
    }

    fn observe(&mut self, observation: Observation) {
        self.out.push(Action::Observe(observation));
    }

    /// Ends a request for its caller.
    fn finish(&mut self, now: Now, id: Id, outcome: Outcome) {
        if self.remove(now, id).is_some() {
            match outcome {
                Outcome::Complete => self.report.complete += 1,
                _ => self.report.unknown += 1,
            }
            self.out.push(Action::Finish(id, outcome));
        }
    }

    /// Ends a request that can't go on: refused if it truly did not run, else unknown.
    fn give_up(
        &mut self,
        now: Now,
        id: Id,
        reason: Reason,
        retry_after: Option<std::time::Duration>,
    ) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        if flight.sent || flight.run.is_some() {
            self.finish(now, id, Outcome::Unknown);
            return;
        }
        self.remove(now, id);
        self.refuse(
            id,
            Refusal {
                reason,
                retry_after,
            },
        );
    }

    fn refuse(&mut self, id: Id, refusal: Refusal) {
        let report = &mut self.report;
        let counter = match refusal.reason {
            Reason::Limit => &mut report.refused_limit,
            Reason::Overload => &mut report.refused_overload,
            Reason::Deadline => &mut report.refused_deadline,
            Reason::NoEndpoint => &mut report.refused_no_endpoint,
            Reason::Condemned => &mut report.refused_condemned,
            Reason::Leaving => &mut report.refused_leaving,
        };
        *counter += 1;
        self.out.push(Action::Refuse(id, refusal));
    }

    /// Removes a request from every table; cancels its attempt if one runs.
    fn remove(&mut self, now: Now, id: Id) -> Option<Flight> {
        self.cancel(now, id);
        self.unqueue(id);
        let flight = self.flights.remove(&id)?;
        self.parked.remove(&(!flight.urgent, flight.seq, id));
        self.deadlines.remove(&(flight.request.deadline, id));
        self.shares.end(flight.request.team);
        self.unward(id);
        Some(flight)
    }

    /// Takes a request out of its line.
    fn unqueue(&mut self, id: Id) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        if let Some(entry) = flight.entry.take() {
            self.queue.remove(&entry);
        }
    }

    /// Stops the running attempt of a request, if there is one.
    fn cancel(&mut self, now: Now, id: Id) {
        if let Some(attempt) = self.release(now, id) {
            self.out.push(Action::Cancel(id, attempt));
            self.flights
                .get_mut(&id)
                .into_iter()
                .for_each(|f| f.sent = true);
        }
    }

    /// Frees what the running attempt holds; returns its number.
    fn release(&mut self, now: Now, id: Id) -> Option<crate::Attempt> {
        let flight = self.flights.get_mut(&id)?;
        let run = flight.run.take()?;
        flight.phase = Phase::Waiting;
        let attempt = flight.attempt;
        for endpoint in run.rows.iter().flatten() {
            if let Some(row) = self.fleet.get_mut(*endpoint) {
                let flying = row.flying.saturating_sub(1);
                row.fly(now, flying);
            }
        }
        for &(a, b) in &run.pairs {
            self.fleet.uncross(self.plan.wires.at(a, b));
        }
        self.unward(id);
        self.stirred = true;
        Some(attempt)
    }
}
