//! Polls of engines, the watch over their liveness, and the publication of the runs that have ended.

use super::{FAILURE_REPORT_TTL, State};
use crate::hosted::control::assignment;
use crate::hosted::control::input::Input;
use crate::hosted::control::liveness::{Action, Evidence, VERDICT_TTL, Watch};
use crate::hosted::control::polls::{Found, Purpose, Sign, Target};
use adapter::report::{Answer, Control as Engine, Report};
use catalog::Endpoint;
use catalog::endpoint::{Run, State as EndpointState};
use member::event::Event;
use member::item::Observation;
use rand::seq::IndexedRandom;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Interval of the polls of an engine in use, as a fraction of the shortest pause target of the routes to
/// its service. A failure is then known while there is time left to replace the engine.
const POLL_INTERVAL_FRACTION: f64 = 0.6;
/// Shortest interval of such polls; bounds their cost.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Number of engines that are polled for a witness. Several engines may have failed together.
const WITNESSES: usize = 4;
/// Number of engines among which witnesses are looked for. Those that are suspected are left out.
const WITNESS_CANDIDATES: usize = 16;

impl State {
    /// Polls the engines assigned to this node that are due.
    pub(super) fn poll_engines(&mut self, now: Instant) {
        self.loads.expire(now);
        let own = match self.may_poll() {
            true => self.own_engines(),
            false => Vec::new(),
        };
        let pauses = self.pause_targets();
        let (watched, others): (Vec<Endpoint>, Vec<Endpoint>) =
            own.into_iter().partition(|e| self.is_watched(e, &pauses));
        self.watch_engines(now, &watched, &pauses);
        let addrs: BTreeSet<SocketAddr> = others.iter().map(|e| e.addr).collect();
        self.engines.retain(|addr, _| addrs.contains(addr));
        for endpoint in others {
            if !self.loads.due(now, &endpoint.run.to_string()) {
                continue;
            }
            let engine = self.engines.entry(endpoint.addr);
            let engine = engine
                .or_insert_with(|| Arc::new(Engine::new(endpoint.addr, self.reports.clone())));
            let (engine, inputs) = (engine.clone(), self.inputs.clone());
            tokio::spawn(async move {
                // The missing report of an unresponsive engine is an input too.
                let report = engine.fetch_report().await.ok();
                // Sending fails only if control has ended.
                let _ = inputs.send(Input::Report(endpoint.run, report)).await;
            });
        }
    }

    /// Returns whether this node polls engines now. Nodes that start together would each poll all engines
    /// until they know each other. Before membership has settled, engines are polled only if they are no
    /// more than one node polls anyway.
    fn may_poll(&self) -> bool {
        let few =
            || self.engines_by_zone().values().sum::<usize>() <= assignment::ENGINES_PER_POLLER;
        !self.leaving && self.tables.catalog().is_some() && (self.settled() || few())
    }

    fn own_engines(&self) -> Vec<Endpoint> {
        let endpoints = self.tables.endpoints();
        let own =
            endpoints.filter(|e| e.accelerator.is_some() && self.assignment.polls(&e.zone, &e.run));
        own.cloned().collect()
    }

    /// Returns the shortest pause target of the streaming routes to each service that has one.
    fn pause_targets(&self) -> BTreeMap<String, Duration> {
        let mut targets: BTreeMap<String, Duration> = BTreeMap::new();
        let Some(catalog) = self.tables.catalog() else {
            return targets;
        };
        for route in &catalog.routes {
            let Some(pause) = route.kind.stream().and_then(|s| s.pause) else {
                continue;
            };
            for share in &route.split {
                if let Some(service) = catalog.service(share.service) {
                    let target = targets.entry(service.name.clone()).or_insert(pause);
                    *target = pause.min(*target);
                }
            }
        }
        targets
    }

    /// Returns whether the liveness of an engine is watched: its service has a pause target, and it has not
    /// announced that it leaves.
    fn is_watched(&self, endpoint: &Endpoint, pauses: &BTreeMap<String, Duration>) -> bool {
        endpoint.state == EndpointState::Ready
            && pauses.contains_key(&endpoint.service)
            && !self.departures.contains(&endpoint.run)
            && !self.loads.is_leaving(&endpoint.run.to_string())
    }

    fn watch_engines(
        &mut self,
        now: Instant,
        watched: &[Endpoint],
        pauses: &BTreeMap<String, Duration>,
    ) {
        let targets: Vec<Target> = watched.iter().map(Target::from).collect();
        let watch = |target: &Target| {
            let pause = pauses.get(&target.service);
            let interval = pause.map(|p| p.mul_f64(POLL_INTERVAL_FRACTION).max(MIN_POLL_INTERVAL));
            Watch {
                run: target.name.clone(),
                service: target.service.clone(),
                interval: interval.filter(|_| self.loads.in_use(&target.name)),
            }
        };
        let watches = targets.iter().map(watch).collect();
        let isolated = self.isolated.keys().cloned().collect();
        self.liveness.update(now, watches, isolated);
        for target in &targets {
            if self.loads.is_due(now, &target.name) {
                self.liveness.request_poll(now, &target.name);
            }
        }
        self.lines.retain(targets);
        self.apply_liveness(now);
    }

    /// Returns when [`Self::check_engines`] must be called next.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.liveness.next_deadline()
    }

    /// Handles the deadlines of polls.
    pub fn check_engines(&mut self) {
        let now = Instant::now();
        self.liveness.tick(now);
        self.apply_liveness(now);
    }

    /// Handles what a poll of a watched engine, or of a witness, has found.
    pub(super) fn handle_found(&mut self, now: Instant, found: Found) {
        let Found {
            target,
            purpose,
            sign,
        } = found;
        let (name, service) = (target.name.as_str(), target.service.as_str());
        let kept = purpose != Purpose::Witness;
        match sign {
            Sign::Accepted(id) => {
                if kept {
                    self.lines.opened(name, id);
                }
                self.liveness.accepted(now, name, service);
            }
            Sign::Answered {
                session,
                id,
                elapsed,
                answer,
            } => {
                if kept {
                    self.lines.put(name, id, session);
                }
                self.handle_answer(now, &target, purpose, elapsed, answer);
            }
            Sign::Refused if kept => {
                self.record_missing(now, &target, purpose);
                self.liveness.refused(now, name);
            }
            Sign::Failed(id) if kept => {
                id.map(|id| self.lines.closed(name, id));
                self.record_missing(now, &target, purpose);
            }
            Sign::Closed(id) => {
                if self.lines.closed(name, id) {
                    self.liveness.closed(now, name);
                }
            }
            Sign::Refused | Sign::Failed(_) => {}
        }
        self.apply_liveness(now);
    }

    fn handle_answer(
        &mut self,
        now: Instant,
        target: &Target,
        purpose: Purpose,
        elapsed: Duration,
        answer: Answer,
    ) {
        let name = target.name.as_str();
        if let Some(report) = &answer.report
            && report.is_from_another_run(&target.run)
        {
            // An earlier run may still answer when the row of the next one is there: no sign of an end.
            if report.started_at > target.run.started_at {
                return self.liveness.replaced(now, name);
            }
        }
        self.liveness.answered(now, name, &target.service, elapsed);
        if answer.leaving && purpose != Purpose::Witness {
            self.loads.record_leaving(name);
            self.loads_changed = true;
        }
        if purpose == Purpose::Load {
            self.handle_report(now, target.run.clone(), answer.report);
        }
    }

    fn record_missing(&mut self, now: Instant, target: &Target, purpose: Purpose) {
        if purpose == Purpose::Load {
            self.handle_report(now, target.run.clone(), None);
        }
    }

    /// Handles the result of a poll for an engine's load.
    pub(super) fn handle_report(&mut self, now: Instant, run: Run, report: Option<Report>) {
        let Some(report) = report else {
            let endpoint = self.tables.endpoints().find(|e| e.run == run);
            // An isolated node gets no reports, whatever the engines do.
            if endpoint.is_none_or(|e| !self.isolated.contains_key(&e.service)) {
                self.loads.record_miss(now, &run.to_string());
            }
            return;
        };
        // Another run has taken over the address, and has a row of its own.
        if report.is_from_another_run(&run) {
            return;
        }
        self.loads.record(now, &run.to_string(), &report);
        self.loads_changed = true;
    }

    fn apply_liveness(&mut self, now: Instant) {
        for action in self.liveness.take_actions() {
            match action {
                Action::Poll { run, kept } => {
                    let load = self.loads.due(now, &run);
                    self.lines.poll(&run, kept, load, &self.inputs);
                }
                Action::FindWitness { service } => self.find_witnesses(&service),
                Action::Ended {
                    run,
                    evidence,
                    renewal,
                } => self.publish_ended(now, run, evidence, renewal),
                Action::Withdraw { run, evidence } => {
                    self.metrics.record_verdict("withdrawn");
                    self.record_endpoint(&run, "has not ended: answers again");
                    self.publish_verdict(now, run, false, evidence.is_conclusive());
                }
                Action::Drop { reason, .. } => self.metrics.record_verdict(reason),
            }
        }
    }

    /// Polls a few engines of a service that are not suspected themselves.
    fn find_witnesses(&mut self, service: &str) {
        let endpoints = self.tables.endpoints().filter(|e| {
            e.accelerator.is_some() && e.service == service && e.state == EndpointState::Ready
        });
        let endpoints: Vec<&Endpoint> = endpoints.collect();
        let suspects = self.liveness.suspects();
        let sample = endpoints.sample(&mut rand::rng(), WITNESS_CANDIDATES);
        let targets = sample.map(|e| Target::from(*e));
        let usable =
            |t: &Target| !suspects.contains(t.name.as_str()) && !self.ended.contains(&t.name);
        for target in targets.filter(usable).take(WITNESSES) {
            self.lines.find_witness(target, &self.inputs);
        }
    }

    fn publish_ended(&mut self, now: Instant, run: String, evidence: Evidence, renewal: bool) {
        if !renewal {
            self.metrics.record_verdict(evidence.label());
            self.record_endpoint(&run, ended_text(evidence));
        }
        self.publish_verdict(now, run, true, evidence.is_conclusive());
    }

    /// Publishes whether a run has ended. With `report`, it is also published as a failure report of this
    /// node: both together take the run out of selection at all nodes.
    fn publish_verdict(&mut self, now: Instant, run: String, ended: bool, report: bool) {
        let mut observations = vec![Observation::Ended {
            name: run.clone(),
            ended,
            ttl: VERDICT_TTL,
        }];
        if report {
            observations.push(Observation::Endpoint {
                name: run,
                ejected: ended,
                ttl: FAILURE_REPORT_TTL,
            });
        }
        self.handle_event(Event::Publish(observations));
        self.refresh_ended(now);
    }
}

fn ended_text(evidence: Evidence) -> &'static str {
    match evidence {
        Evidence::Refused => "has ended: refuses connections",
        Evidence::Unanswered => "has ended: polls are unanswered",
        Evidence::Replaced => "has ended: a later run answers at its address",
    }
}
