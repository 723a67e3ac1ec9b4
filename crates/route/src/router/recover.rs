//! Recovery: what becomes of a request whose attempt failed.

use super::Router;
use crate::action::Action;
use crate::failure::{Cause, Failure};
use crate::flight::Phase;
use crate::health::State;
use crate::outcome::Outcome;
use crate::refusal::Reason;
use crate::request::Id;
use crate::{Attempt, Now};
use bundle::id::EndpointId;
use rand::RngExt;
use std::time::Duration;

/// Time an endpoint that said it leaves gets no new work; by then the list has caught up.
const LEAVING: Duration = Duration::from_secs(5);
/// Time an endpoint that does not serve a model yet gets no new work.
const UNFIT: Duration = Duration::from_secs(1);

impl Router {
    pub(super) fn failed(&mut self, now: Now, id: Id, attempt: Attempt, failure: &Failure) {
        let flight = self.flights.get_mut(&id).filter(|f| f.attempt == attempt);
        let Some(flight) = flight.filter(|f| f.run.is_some()) else {
            self.report.stale += 1;
            return;
        };
        self.report.failed += 1;
        let endpoint = flight.run.as_ref().and_then(|run| {
            let at = run
                .hops
                .iter()
                .position(|h| h.endpoint == failure.endpoint)?;
            run.rows[at]
        });
        // An ejection ends all that runs on its endpoint. This attempt has ended already; were it
        // still on the books, it would be cancelled and started anew a second time. A death is
        // told first: what ran then is under suspicion, this request among it.
        let strike = matches!(failure.cause, Cause::Protocol | Cause::Internal);
        if strike {
            self.release(now, id);
        }
        if let Some(endpoint) = endpoint {
            self.blame(now, endpoint, failure);
        }
        if !strike {
            self.release(now, id);
        }
        if let Some(flight) = self.flights.get_mut(&id) {
            flight.sent |= failure.sent;
        }
        match failure.cause {
            Cause::Busy => {
                self.report.busy += 1;
                self.elsewhere(now, id);
            }
            Cause::Leaving | Cause::Unfit => self.elsewhere(now, id),
            cause => self.recover(now, id, endpoint, cause),
        }
    }

    /// What a failure says of its endpoint.
    fn blame(&mut self, now: Now, endpoint: EndpointId, failure: &Failure) {
        let jitter: f64 = self.rng.random_range(0.5..1.5);
        let busy = failure
            .retry_after
            .unwrap_or(self.limits.busy)
            .mul_f64(jitter);
        let Some(row) = self.fleet.get_mut(endpoint) else {
            return;
        };
        match failure.cause {
            Cause::Busy => {
                row.pace.full(now, row.flying.saturating_sub(1));
                row.hold = row.hold.max(now + busy);
            }
            Cause::Leaving => row.hold = row.hold.max(now + LEAVING),
            Cause::Unfit => row.hold = row.hold.max(now + UNFIT),
            Cause::Connect => self.ask(now, endpoint),
            Cause::Reset => {
                self.broke.insert(endpoint);
                self.suspect_death(now, endpoint);
            }
            Cause::Silent => self.suspect_death(now, endpoint),
            Cause::Protocol | Cause::Internal => {
                if row.health.takes() && row.health.strike(now) {
                    self.eject(now, endpoint);
                }
            }
        }
    }

    /// The endpoint refused before anything ran: another try costs nothing but a round trip.
    fn elsewhere(&mut self, now: Now, id: Id) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        if flight.sent && !flight.request.repeatable {
            return self.finish(now, id, Outcome::Unknown);
        }
        self.enqueue(now, id);
    }

    /// Continues a request after a failure that counts, within budget, tries and deadline.
    pub(super) fn recover(&mut self, now: Now, id: Id, endpoint: Option<EndpointId>, cause: Cause) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        if flight.sent && !flight.request.repeatable {
            return self.finish(now, id, Outcome::Unknown);
        }
        flight.tries += 1;
        if flight.tries >= self.limits.tries {
            return self.give_up(now, id, Reason::NoEndpoint, Some(LATER));
        }
        if flight.request.deadline <= now || flight.stranded {
            return self.give_up(now, id, Reason::Deadline, None);
        }
        // A silent connection says nothing against its endpoint once a probe was answered.
        if cause != Cause::Silent {
            flight.avoid.extend(endpoint);
        }
        let dies = matches!(cause, Cause::Reset | Cause::Silent);
        flight.waits = endpoint.filter(|_| dies);
        self.park(now, id);
    }

    /// Lets a request wait for the retry budget, and for the probe that tells whether it may
    /// have killed its endpoint: until then it must not run beside others.
    pub(super) fn park(&mut self, now: Now, id: Id) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        flight.phase = Phase::Parked;
        self.parked.insert((!flight.urgent, flight.seq, id));
        self.unpark(now);
    }

    /// Lets parked requests go on as far as the budget allows.
    pub(super) fn unpark(&mut self, now: Now) {
        let keys: Vec<_> = self.parked.iter().copied().collect();
        for key in keys {
            let Some(flight) = self.flights.get(&key.2) else {
                continue;
            };
            if self.awaited(flight) {
                continue;
            }
            if !self.budget.take() {
                return;
            }
            self.report.retries += 1;
            self.parked.remove(&key);
            self.enqueue(now, key.2);
        }
    }

    /// Whether a verdict on the request is under way.
    fn awaited(&self, flight: &crate::flight::Flight) -> bool {
        let row = flight.waits.and_then(|e| self.fleet.get(e));
        let probing = row.is_some_and(|r| matches!(r.health.state, State::Probing(_)));
        probing || self.crash.pending(flight.request.fingerprint)
    }

    /// Stops an attempt that the router itself found lost, and continues the request.
    pub(super) fn lose(&mut self, now: Now, id: Id, endpoint: Option<EndpointId>, cause: Cause) {
        self.cancel(now, id);
        self.report.failed += 1;
        self.recover(now, id, endpoint, cause);
    }

    /// Probes an endpoint in use.
    pub(super) fn ask(&mut self, now: Now, endpoint: EndpointId) {
        let Some(row) = self.fleet.get_mut(endpoint) else {
            return;
        };
        if row.health.ask(now) {
            self.report.probes += 1;
            self.out.push(Action::Probe(endpoint));
        }
    }
}

/// When to come back after all tries failed.
const LATER: Duration = Duration::from_secs(1);
