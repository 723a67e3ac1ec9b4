//! Progress of running attempts.

use super::Router;
use crate::action::Observation;
use crate::flight::Run;
use crate::outcome::Outcome;
use crate::request::Id;
use crate::{Attempt, Now};

impl Router {
    /// The running attempt of a request, if `attempt` is its number.
    fn current(&mut self, id: Id, attempt: Attempt) -> Option<&mut Run> {
        let flight = self.flights.get_mut(&id);
        let run = flight
            .filter(|f| f.attempt == attempt)
            .and_then(|f| f.run.as_mut());
        if run.is_none() {
            self.report.stale += 1;
        }
        run
    }

    pub(super) fn progress(&mut self, now: Now, id: Id, attempt: Attempt, hop: u8) {
        let Some(run) = self.current(id, attempt) else {
            return;
        };
        let hop = usize::from(hop);
        let expected = hop == run.hop;
        let took = now.saturating_sub(run.since);
        run.since = now;
        run.silent = false;
        run.hop = hop + 1;
        let steady = run.made > 0 && expected;
        let Some(&endpoint) = run.rows.get(hop) else {
            return;
        };
        let allowed = run.allowed[hop];
        let Some(row) = endpoint.and_then(|e| self.fleet.get_mut(e)) else {
            return;
        };
        row.progress = now;
        if steady {
            let limit = row.limit();
            row.pace.hop(now, took, allowed, row.flying);
            self.stirred |= row.limit() > limit;
        }
    }

    pub(super) fn token(&mut self, now: Now, id: Id, attempt: Attempt) {
        let Some(run) = self.current(id, attempt) else {
            return;
        };
        run.made += 1;
        run.hop = 0;
        run.since = now;
        run.silent = false;
        let first = (run.made == 1).then(|| now.saturating_sub(run.started));
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        flight.tokens += 1;
        let target = flight.request.target;
        if let Some(took) = first {
            self.meter(target).first(took);
        }
    }

    pub(super) fn finished(&mut self, now: Now, id: Id, attempt: Attempt) {
        if self.current(id, attempt).is_none() {
            return;
        }
        self.measure(now, id);
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        let print = flight.request.fingerprint;
        let rows = flight
            .run
            .as_ref()
            .map(|r| r.rows.clone())
            .unwrap_or_default();
        for endpoint in rows.into_iter().flatten() {
            let Some(row) = self.fleet.get_mut(endpoint) else {
                continue;
            };
            if row.health.good(self.limits.trials) {
                self.report.restored += 1;
                self.observe(Observation::Restored(endpoint));
            }
        }
        self.crash.clear(print);
        self.release(now, id);
        self.finish(now, id, Outcome::Complete);
        self.rerank();
    }

    fn measure(&mut self, now: Now, id: Id) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        let Some(run) = &flight.run else { return };
        let took = now.saturating_sub(run.started);
        let (target, tokens, made) = (flight.request.target, flight.tokens, run.made);
        let (most, whole) = (flight.request.most, flight.attempt == 1);
        let meter = self.meter(target);
        if made == 0 && whole {
            meter.first(took);
        }
        let after = took.saturating_sub(std::time::Duration::from_secs_f64(meter.first));
        if whole {
            meter.end(tokens, most, after);
        }
    }

    pub(super) fn left(&mut self, now: Now, id: Id) {
        if self.remove(now, id).is_some() {
            self.report.left += 1;
        }
    }
}
