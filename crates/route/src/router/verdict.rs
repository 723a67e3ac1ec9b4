//! Verdicts on endpoints, and on the requests that were in flight when an endpoint died.

use super::Router;
use crate::Now;
use crate::action::{Action, Observation};
use crate::failure::Cause;
use crate::health::State;
use crate::job::Job;
use crate::outcome::Outcome;
use crate::refusal::Reason;
use crate::request::{Id, Target};
use bundle::id::EndpointId;
use rand::RngExt;

impl Router {
    /// Records what runs on an endpoint that disconnected or became silent, and probes it.
    pub(super) fn suspect_death(&mut self, now: Now, endpoint: EndpointId) {
        let fingerprints = self.fingerprints_on(endpoint);
        if self
            .fleet
            .get(endpoint)
            .is_some_and(|r| r.health.accepts_work())
        {
            self.crash.open_incident(now, endpoint, fingerprints);
        }
        self.probe(now, endpoint);
    }

    /// Returns the fingerprints of requests that the endpoint has begun to run.
    fn fingerprints_on(&self, endpoint: EndpointId) -> Vec<u64> {
        let has_begun = |j: &&Job| {
            j.run.as_ref().is_some_and(|run| {
                let at = run.endpoints.iter().position(|&r| r == Some(endpoint));
                at.is_some_and(|at| run.tokens > 0 || run.next_hop >= at)
            })
        };
        let mut fingerprints: Vec<_> = self
            .jobs
            .values()
            .filter(has_begun)
            .map(|j| j.request.fingerprint)
            .collect();
        fingerprints.sort_unstable();
        fingerprints.dedup();
        fingerprints
    }

    pub(super) fn probed(&mut self, now: Now, endpoint: EndpointId, answered: bool) {
        let Some(row) = self.fleet.get_mut(endpoint) else {
            return;
        };
        if !matches!(row.health.state, State::Probing(_)) {
            return;
        }
        if !answered {
            return self.confirm_dead(now, endpoint);
        }
        let returned = row.health.returning;
        row.health.record_answer();
        if returned {
            row.limiter.reset(now);
            self.plan_stale = true;
        }
        self.confirm_alive(now, endpoint);
        self.dispatch_needed = true;
        self.unpark(now);
    }

    /// Handles an answered probe of an endpoint: only connections to it are dead.
    fn confirm_alive(&mut self, now: Now, endpoint: EndpointId) {
        let connection_lost = self.broken_connections.remove(&endpoint);
        let new_suspects = self.crash.record_alive(now, endpoint, connection_lost);
        self.publish_suspects(&new_suspects);
        self.keep_waiting(now, endpoint);
        let silent = self.silent_requests(endpoint);
        if connection_lost || !silent.is_empty() {
            let row = self.fleet.get_mut(endpoint);
            if row.is_some_and(|r| r.health.record_failure(now)) {
                return self.eject(now, endpoint, true);
            }
        }
        if silent.is_empty() {
            return;
        }
        self.report.silent += 1;
        self.actions.push(Action::Disconnect(endpoint));
        self.fleet
            .get_mut(endpoint)
            .into_iter()
            .for_each(|r| r.limiter.extend_silence());
        for id in silent {
            self.fail_over(now, id, Some(endpoint), Cause::Silent);
        }
    }

    /// Extends the wait for calls of a plain service, which show no progress: while the endpoint is
    /// alive, they are awaited until their deadline.
    fn keep_waiting(&mut self, now: Now, endpoint: EndpointId) {
        for job in self.jobs.values_mut().filter(|j| j.runs_on(endpoint)) {
            let service = matches!(job.request.target, Target::Service(_));
            let Some(run) = job.run.as_mut().filter(|r| r.silent) else {
                continue;
            };
            if service && now < job.request.deadline {
                run.silent = false;
                run.last_progress = now;
            }
        }
    }

    fn silent_requests(&self, endpoint: EndpointId) -> Vec<Id> {
        let silent = |j: &&Job| j.run.as_ref().is_some_and(|r| r.silent);
        let current = self
            .jobs
            .values()
            .filter(silent)
            .filter(|j| j.current_endpoint() == Some(endpoint));
        current.map(|j| j.id()).collect()
    }

    /// Handles the death of an endpoint: what was in flight there becomes suspect.
    fn confirm_dead(&mut self, now: Now, endpoint: EndpointId) {
        self.broken_connections.remove(&endpoint);
        let fingerprints = self.fingerprints_on(endpoint);
        self.crash.open_incident(now, endpoint, fingerprints);
        let new_suspects = self.crash.record_dead(now, endpoint);
        self.publish_suspects(&new_suspects);
        self.eject(now, endpoint, false);
    }

    fn publish_suspects(&mut self, fingerprints: &[u64]) {
        for &fingerprint in fingerprints {
            self.report.suspected += 1;
            self.observe(Observation::Suspect(fingerprint));
        }
        for fingerprint in self.crash.take_pending() {
            self.observe(Observation::Pending(fingerprint));
        }
        self.rerank();
    }

    /// Ejects an endpoint and recovers its requests on others. If it `answers` probes, attempts that
    /// can't be replaced continue there.
    pub(super) fn eject(&mut self, now: Now, endpoint: EndpointId, answers: bool) {
        let jitter = self.rng.random();
        let Some(row) = self.fleet.get_mut(endpoint) else {
            return;
        };
        let first = row.health.ejections == 0;
        row.health.eject(
            now,
            self.settings.min_ejection,
            self.settings.max_ejection,
            jitter,
        );
        self.report.ejected += 1;
        if first {
            self.observe(Observation::Ejected(endpoint));
        }
        self.plan_stale = true;
        let running = self.jobs.values().filter(|j| j.runs_on(endpoint));
        let running = running.filter(|j| !(answers && j.outlives_ejection()));
        let ids: Vec<Id> = running.map(|j| j.id()).collect();
        ids.into_iter()
            .for_each(|id| self.fail_over(now, id, Some(endpoint), Cause::Reset));
        self.unpark(now);
    }

    /// Publishes the verdicts that are due and stops the requests concerned.
    pub(super) fn conclude_verdicts(&mut self, now: Now) {
        let fingerprints = self.crash.conclude(now);
        if fingerprints.is_empty() {
            return;
        }
        for fingerprint in fingerprints {
            self.report.condemned += 1;
            self.observe(Observation::Condemned(fingerprint));
        }
        self.stop_condemned(now);
    }

    /// Ends requests whose fingerprint is condemned.
    pub(super) fn stop_condemned(&mut self, now: Now) {
        let condemned = |j: &&Job| self.crash.is_condemned(j.request.fingerprint);
        let ids: Vec<Id> = self
            .jobs
            .values()
            .filter(condemned)
            .map(|j| j.id())
            .collect();
        for id in ids {
            self.cancel(now, id);
            let sent = self.jobs.get(&id).is_some_and(|j| j.sent);
            if sent {
                self.finish(now, id, Outcome::Unknown);
            } else {
                self.terminate(now, id, Reason::Condemned, None);
            }
        }
    }
}
