//! Verdicts on endpoints and on the requests that were in flight when they died.

use super::Router;
use crate::Now;
use crate::action::{Action, Observation};
use crate::failure::Cause;
use crate::flight::Flight;
use crate::health::State;
use crate::outcome::Outcome;
use crate::refusal::Reason;
use crate::request::Id;
use bundle::id::EndpointId;
use rand::RngExt;

impl Router {
    /// An endpoint broke off or went silent: notes what it runs, and probes it.
    pub(super) fn suspect_death(&mut self, now: Now, endpoint: EndpointId) {
        let prints = self.in_flight(endpoint);
        if self.fleet.get(endpoint).is_some_and(|r| r.health.takes()) {
            self.crash.scene(now, endpoint, prints);
        }
        self.ask(now, endpoint);
    }

    /// Fingerprints whose work the endpoint has begun.
    fn in_flight(&self, endpoint: EndpointId) -> Vec<u64> {
        let began = |f: &&Flight| {
            f.run.as_ref().is_some_and(|run| {
                let at = run.rows.iter().position(|&r| r == Some(endpoint));
                at.is_some_and(|at| run.made > 0 || run.hop >= at)
            })
        };
        let mut prints: Vec<_> = self
            .flights
            .values()
            .filter(began)
            .map(|f| f.request.fingerprint)
            .collect();
        prints.sort_unstable();
        prints.dedup();
        prints
    }

    pub(super) fn probed(&mut self, now: Now, endpoint: EndpointId, answered: bool) {
        let Some(row) = self.fleet.get_mut(endpoint) else {
            return;
        };
        if !matches!(row.health.state, State::Probing(_)) {
            return;
        }
        if !answered {
            return self.died(now, endpoint);
        }
        let returned = row.health.returning;
        row.health.answered();
        if returned {
            row.pace.restart(now);
            self.stale = true;
        } else {
            self.lives(now, endpoint);
        }
        self.stirred = true;
        self.unpark(now);
    }

    /// An endpoint that was doubted lives: only connections to it are dead.
    fn lives(&mut self, now: Now, endpoint: EndpointId) {
        let broke = self.broke.remove(&endpoint);
        let fresh = self.crash.alive(now, endpoint, broke);
        self.accuse(&fresh);
        let silent = self.silent(endpoint);
        if broke || !silent.is_empty() {
            let row = self.fleet.get_mut(endpoint);
            if row.is_some_and(|r| r.health.strike(now)) {
                return self.eject(now, endpoint);
            }
        }
        if silent.is_empty() {
            return;
        }
        self.report.silent += 1;
        self.out.push(Action::Disconnect(endpoint));
        self.fleet
            .get_mut(endpoint)
            .into_iter()
            .for_each(|r| r.pace.mistaken());
        for id in silent {
            self.lose(now, id, Some(endpoint), Cause::Silent);
        }
    }

    fn silent(&self, endpoint: EndpointId) -> Vec<Id> {
        let quiet = |f: &&Flight| f.run.as_ref().is_some_and(|r| r.silent);
        let due = self
            .flights
            .values()
            .filter(quiet)
            .filter(|f| f.due() == Some(endpoint));
        due.map(|f| f.id()).collect()
    }

    /// An endpoint is dead: what was in flight there becomes suspect.
    fn died(&mut self, now: Now, endpoint: EndpointId) {
        self.broke.remove(&endpoint);
        let prints = self.in_flight(endpoint);
        self.crash.scene(now, endpoint, prints);
        let fresh = self.crash.dead(now, endpoint);
        self.accuse(&fresh);
        self.eject(now, endpoint);
    }

    fn accuse(&mut self, prints: &[u64]) {
        for &print in prints {
            self.report.suspected += 1;
            self.observe(Observation::Suspect(print));
        }
        for print in self.crash.take_charged() {
            self.observe(Observation::Pending(print));
        }
        self.rerank();
    }

    /// Takes an endpoint out of use and continues its requests elsewhere.
    pub(super) fn eject(&mut self, now: Now, endpoint: EndpointId) {
        let jitter = self.rng.random();
        let Some(row) = self.fleet.get_mut(endpoint) else {
            return;
        };
        let first = row.health.ejections == 0;
        row.health
            .eject(now, self.limits.backoff, self.limits.backoff_most, jitter);
        self.report.ejected += 1;
        if first {
            self.observe(Observation::Ejected(endpoint));
        }
        self.stale = true;
        let on = self.flights.values().filter(|f| f.on(endpoint));
        let ids: Vec<Id> = on.map(|f| f.id()).collect();
        ids.into_iter()
            .for_each(|id| self.lose(now, id, Some(endpoint), Cause::Reset));
        self.unpark(now);
    }

    /// Verdicts that are due.
    pub(super) fn settle(&mut self, now: Now) {
        let prints = self.crash.settle(now);
        if prints.is_empty() {
            return;
        }
        for print in prints {
            self.report.condemned += 1;
            self.observe(Observation::Condemned(print));
        }
        self.stop_condemned(now);
    }

    /// Ends requests that are known to crash endpoints.
    pub(super) fn stop_condemned(&mut self, now: Now) {
        let condemned = |f: &&Flight| self.crash.condemned(f.request.fingerprint);
        let ids: Vec<Id> = self
            .flights
            .values()
            .filter(condemned)
            .map(|f| f.id())
            .collect();
        for id in ids {
            self.cancel(now, id);
            let sent = self.flights.get(&id).is_some_and(|f| f.sent);
            if sent {
                self.finish(now, id, Outcome::Unknown);
            } else {
                self.give_up(now, id, Reason::Condemned, None);
            }
        }
    }
}
