//! Recovery of requests whose attempt failed.

use super::Router;
use crate::action::Action;
use crate::failure::{Cause, Failure};
use crate::health::State;
use crate::job::Phase;
use crate::outcome::Outcome;
use crate::refusal::Reason;
use crate::request::Id;
use crate::{Attempt, Now};
use bundle::id::EndpointId;
use rand::RngExt;
use std::time::Duration;

/// Time without new work for an endpoint that refused because it is leaving. The instance list
/// reflects this before the time has passed.
const LEAVING_BACKOFF: Duration = Duration::from_secs(5);
/// Time without new work for an endpoint that does not serve a model yet.
const UNFIT_BACKOFF: Duration = Duration::from_secs(1);
/// Maximum delay that an endpoint can ask for, as in the frames of engines. It bounds how long a wrong
/// value keeps an endpoint out of use.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3600);

impl Router {
    pub(super) fn failed(&mut self, now: Now, id: Id, attempt: Attempt, failure: &Failure) {
        let job = self.jobs.get_mut(&id).filter(|j| j.attempt == attempt);
        let Some(job) = job.filter(|j| j.run.is_some()) else {
            self.report.stale += 1;
            return;
        };
        self.report.failed += 1;
        let endpoint = job.run.as_ref().and_then(|run| {
            let at = run
                .hops
                .iter()
                .position(|h| h.endpoint == failure.endpoint)?;
            run.endpoints[at]
        });
        let ejected = endpoint.filter(|&e| self.record_failure(now, e, failure));
        self.release(now, id);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.sent |= failure.sent;
        }
        match failure.cause {
            Cause::Busy => {
                self.report.busy += 1;
                self.requeue(now, id);
            }
            Cause::Leaving | Cause::Unfit => self.requeue(now, id),
            // No other endpoint could run it either.
            Cause::Invalid => self.terminate(now, id, Reason::Invalid, None),
            cause => self.recover(now, id, endpoint, cause),
        }
        // The ejection comes last: it cancels all attempts on the endpoint, and this one has
        // already ended.
        ejected.into_iter().for_each(|e| self.eject(now, e, true));
    }

    /// Records a failure against its endpoint; returns whether the endpoint is to be ejected.
    fn record_failure(&mut self, now: Now, endpoint: EndpointId, failure: &Failure) -> bool {
        let jitter: f64 = self.rng.random_range(0.5..1.5);
        // The jitter must not shorten a delay that the endpoint asked for.
        let busy_backoff = match failure.retry_after {
            Some(delay) => delay.min(MAX_RETRY_AFTER).mul_f64(jitter + 0.5),
            None => self.settings.busy_backoff.mul_f64(jitter),
        };
        let Some(row) = self.fleet.get_mut(endpoint) else {
            return false;
        };
        match failure.cause {
            Cause::Busy => {
                row.limiter
                    .record_busy(now, row.in_flight.saturating_sub(1));
                row.backoff_until = row.backoff_until.max(now + busy_backoff);
            }
            Cause::Leaving => row.backoff_until = row.backoff_until.max(now + LEAVING_BACKOFF),
            Cause::Unfit => row.backoff_until = row.backoff_until.max(now + UNFIT_BACKOFF),
            Cause::Invalid => {}
            Cause::Connect => self.probe(now, endpoint),
            Cause::Reset => {
                self.broken_connections.insert(endpoint);
                self.suspect_death(now, endpoint);
            }
            Cause::Silent => self.suspect_death(now, endpoint),
            Cause::Protocol | Cause::Internal => {
                return row.health.accepts_work() && row.health.record_failure(now);
            }
        }
        false
    }

    /// Requeues a request that an endpoint refused before running anything. Another attempt costs
    /// only a round trip, so it is not counted.
    fn requeue(&mut self, now: Now, id: Id) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if job.sent && !job.request.repeatable {
            return self.finish(now, id, Outcome::Unknown);
        }
        self.enqueue(now, id);
    }

    /// Retries a request after a failure that counts, within its retry budget, attempts and
    /// deadline.
    pub(super) fn recover(&mut self, now: Now, id: Id, endpoint: Option<EndpointId>, cause: Cause) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.sent && !job.request.repeatable {
            return self.finish(now, id, Outcome::Unknown);
        }
        job.failed_attempts += 1;
        if job.failed_attempts >= self.settings.max_attempts {
            return self.terminate(now, id, Reason::NoEndpoint, Some(RETRY_AFTER));
        }
        if job.request.deadline <= now || job.not_resumable {
            return self.terminate(now, id, Reason::Deadline, None);
        }
        // Once a probe is answered, a silent connection is no evidence against its endpoint.
        if cause != Cause::Silent {
            job.avoid.extend(endpoint);
        }
        let may_have_died = matches!(cause, Cause::Reset | Cause::Silent);
        job.awaited_probe = endpoint.filter(|_| may_have_died);
        self.park(now, id);
    }

    /// Parks a request until the retry budget allows a retry and a pending probe shows whether the
    /// request may have crashed its endpoint. Until then it must not run beside others.
    pub(super) fn park(&mut self, now: Now, id: Id) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.phase = Phase::Parked;
        self.parked.insert((!job.urgent, job.seq, id));
        self.unpark(now);
    }

    /// Requeues parked requests as far as the retry budget allows.
    pub(super) fn unpark(&mut self, now: Now) {
        let keys: Vec<_> = self.parked.iter().copied().collect();
        for key in keys {
            let Some(job) = self.jobs.get(&key.2) else {
                continue;
            };
            if self.awaits_verdict(job) {
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

    /// Returns whether a probe or a verdict that concerns the request is pending.
    fn awaits_verdict(&self, job: &crate::job::Job) -> bool {
        let row = job.awaited_probe.and_then(|e| self.fleet.get(e));
        let probing = row.is_some_and(|r| matches!(r.health.state, State::Probing(_)));
        probing || self.crash.is_pending(job.request.fingerprint)
    }

    /// Cancels an attempt that the router itself considers lost, and recovers the request.
    pub(super) fn fail_over(
        &mut self,
        now: Now,
        id: Id,
        endpoint: Option<EndpointId>,
        cause: Cause,
    ) {
        self.cancel(now, id);
        self.report.failed += 1;
        self.recover(now, id, endpoint, cause);
    }

    /// Probes an endpoint that is in use.
    pub(super) fn probe(&mut self, now: Now, endpoint: EndpointId) {
        let Some(row) = self.fleet.get_mut(endpoint) else {
            return;
        };
        if row.health.begin_probe(now) {
            self.report.probes += 1;
            self.actions.push(Action::Probe(endpoint));
        }
    }
}

/// Retry-after delay after all attempts failed.
const RETRY_AFTER: Duration = Duration::from_secs(1);
