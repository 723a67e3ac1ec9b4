//! The router: handles events and returns actions.

use crate::Now;
use crate::action::{Action, Observation};
use crate::audit::Audit;
use crate::choose::locality::Locality;
use crate::crash;
use crate::event::Event;
use crate::finding::Finding;
use crate::fleet::Fleet;
use crate::job::{Job, Phase};
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
mod capacity;
mod check;
mod dispatch;
mod dump;
mod isolate;
mod launch;
mod progress;
mod recover;
mod select;
mod tick;
mod update;
mod verdict;

/// Number of jobs above which debug builds check all invariants on ticks only.
const MAX_CHECKED_JOBS: usize = 256;

/// State and decisions of one request worker.
pub struct Router {
    seed: u64,
    settings: Settings,
    rng: ChaCha8Rng,
    view: Option<Arc<View>>,
    fleet: Fleet,
    plan: Plan,
    /// Number of the current plan.
    epoch: u64,
    recoverable: update::Recoverable,
    locality: Locality,
    queue: Queue,
    shares: share::Table,
    budget: Budget,
    crash: crash::Table,
    jobs: BTreeMap<Id, Job>,
    /// Requests by deadline; an entry is removed once its deadline passes.
    deadlines: BTreeSet<(Now, Id)>,
    /// Requests that wait for the retry budget or a probe, urgent ones first.
    parked: BTreeSet<(bool, u64, Id)>,
    meters: BTreeMap<Target, Meter>,
    reservations: BTreeMap<Target, isolate::Reservation>,
    /// Whether any endpoint may be reserved for a suspect.
    has_reservations: bool,
    /// Endpoints under probe because a connection broke.
    broken_connections: BTreeSet<EndpointId>,
    /// Endpoints that other nodes have ejected, as of the latest view.
    remote_ejected: Vec<EndpointId>,
    seq: u64,
    ticks: u64,
    /// Time of the latest tick.
    last_tick: Now,
    /// Whether waiting requests may be able to start now.
    dispatch_needed: bool,
    /// Whether the plan is out of date.
    plan_stale: bool,
    audit: Audit,
    findings: Vec<Finding>,
    report: Report,
    actions: Vec<Action>,
}

impl Router {
    /// Creates a router without a view; `seed` determines its random draws.
    pub fn new(seed: u64, settings: Settings) -> Self {
        Self {
            seed,
            rng: ChaCha8Rng::seed_from_u64(seed),
            view: None,
            fleet: Fleet::default(),
            plan: Plan::default(),
            epoch: 0,
            recoverable: update::Recoverable::default(),
            locality: Locality::new(settings.max_prefixes),
            queue: Queue::default(),
            shares: share::Table::default(),
            budget: Budget::new(settings.retry_burst),
            crash: crash::Table::new(settings.max_fingerprints),
            jobs: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            parked: BTreeSet::new(),
            meters: BTreeMap::new(),
            reservations: BTreeMap::new(),
            has_reservations: false,
            broken_connections: BTreeSet::new(),
            remote_ejected: Vec::new(),
            seq: 0,
            ticks: 0,
            last_tick: Now::ZERO,
            dispatch_needed: false,
            plan_stale: false,
            audit: Audit::default(),
            findings: Vec::new(),
            report: Report::default(),
            actions: Vec::new(),
            settings,
        }
    }

    /// Handles one event and appends the resulting actions to `out`. A violated invariant panics in
    /// debug builds; in release builds it is counted and reported by [`Router::verify`].
    pub fn handle(&mut self, now: Now, event: Event, out: &mut Vec<Action>) {
        self.audit.event(&event);
        let tick = matches!(event, Event::Tick);
        let departed = matches!(event, Event::Left(_)).then(|| event.clone());
        self.apply_event(now, event);
        self.replan();
        let dispatched = self.dispatch_needed;
        if dispatched {
            self.dispatch(now);
            self.check_order();
        }
        let settled = dispatched && !self.dispatch_needed;
        self.replan();
        for action in &self.actions {
            self.findings.extend(self.audit.action(action));
        }
        if let Some(departed) = departed {
            self.findings.extend(self.audit.end_left(&departed));
        }
        out.append(&mut self.actions);
        if cfg!(debug_assertions) && (tick || self.jobs.len() <= MAX_CHECKED_JOBS) {
            let mut found = self.verify();
            found.extend(
                settled
                    .then(|| self.missed_urgent(now))
                    .into_iter()
                    .flatten(),
            );
            assert!(found.is_empty(), "violated invariants: {found:?}\n{self}");
        }
    }

    fn apply_event(&mut self, now: Now, event: Event) {
        match event {
            Event::View(view) => self.apply_view(now, view),
            Event::Arrive(request) => self.arrive(now, request),
            Event::Progress(id, attempt, hop) => self.progress(now, id, attempt, hop),
            Event::Committed(id, attempt) => self.committed(now, id, attempt),
            Event::Token(id, attempt) => self.token(now, id, attempt),
            Event::Finished(id, attempt) => self.finished(now, id, attempt),
            Event::Failed(id, attempt, failure) => self.failed(now, id, attempt, &failure),
            Event::Left(id) => self.left(now, id),
            Event::Probed(endpoint, answered) => self.probed(now, endpoint, answered),
            Event::Load(endpoint, report) => {
                self.fleet
                    .get_mut(endpoint)
                    .into_iter()
                    .for_each(|r| r.record_report(now, &report));
            }
            Event::Tick => self.tick(now),
        }
    }

    /// Returns counters and gauges.
    pub fn report(&self) -> Report {
        let mut report = self.report;
        report.findings = self.findings.len() as u64;
        report.waiting_urgent = self.queue.urgent_count as u64;
        report.waiting = self.queue.fair_count as u64;
        report.parked = self.parked.len() as u64;
        report.running = self.running_count() as u64;
        report.out = self
            .fleet
            .rows
            .iter()
            .filter(|r| !r.health.accepts_work())
            .count() as u64;
        report.budget = self.budget.level();
        report.suspects = self.crash.counts().0 as u64;
        report.prefixes = self.locality.len() as u64;
        report
    }

    /// Returns the accounts of the teams of the view's bundle.
    pub fn accounts(&self) -> &[crate::share::Account] {
        &self.shares.accounts
    }

    fn running_count(&self) -> usize {
        self.jobs.len() - self.parked.len() - self.queue.urgent_count - self.queue.fair_count
    }

    fn observe(&mut self, observation: Observation) {
        self.actions.push(Action::Observe(observation));
    }

    /// Ends a request with an outcome for its caller.
    fn finish(&mut self, now: Now, id: Id, outcome: Outcome) {
        if self.remove(now, id).is_some() {
            match outcome {
                Outcome::Complete => self.report.complete += 1,
                _ => self.report.unknown += 1,
            }
            self.actions.push(Action::Finish(id, outcome));
        }
    }

    /// Ends a request that can't continue: refused if no part of it can have run, otherwise with an
    /// unknown outcome.
    fn terminate(
        &mut self,
        now: Now,
        id: Id,
        reason: Reason,
        retry_after: Option<std::time::Duration>,
    ) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if job.sent || job.run.is_some() {
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
            Reason::Invalid => &mut report.refused_invalid,
        };
        *counter += 1;
        self.actions.push(Action::Refuse(id, refusal));
    }

    /// Removes a request from all tables and cancels its running attempt.
    fn remove(&mut self, now: Now, id: Id) -> Option<Job> {
        self.cancel(now, id);
        self.dequeue(id);
        let job = self.jobs.remove(&id)?;
        self.parked.remove(&(!job.urgent, job.seq, id));
        self.deadlines.remove(&(job.request.deadline, id));
        self.shares.release(job.request.team);
        self.release_reservation(id);
        Some(job)
    }

    /// Removes a request from its line.
    fn dequeue(&mut self, id: Id) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if let Some(entry) = job.queue_entry.take() {
            self.queue.remove(&entry);
        }
    }

    /// Cancels the running attempt of a request, if there is one.
    fn cancel(&mut self, now: Now, id: Id) {
        if let Some(attempt) = self.release(now, id) {
            self.actions.push(Action::Cancel(id, attempt));
            self.jobs
                .get_mut(&id)
                .into_iter()
                .for_each(|j| j.sent = true);
        }
    }

    /// Releases the resources of the running attempt; returns the number of the attempt.
    fn release(&mut self, now: Now, id: Id) -> Option<crate::Attempt> {
        let job = self.jobs.get_mut(&id)?;
        let run = job.run.take()?;
        job.phase = Phase::Waiting;
        let attempt = job.attempt;
        for endpoint in run.endpoints.iter().flatten() {
            if let Some(row) = self.fleet.get_mut(*endpoint) {
                let in_flight = row.in_flight.saturating_sub(1);
                row.set_in_flight(now, in_flight);
            }
        }
        for &(a, b) in &run.zone_pairs {
            self.fleet.remove_crossing(self.plan.links.pair_index(a, b));
        }
        self.release_reservation(id);
        self.dispatch_needed = true;
        Some(attempt)
    }
}
