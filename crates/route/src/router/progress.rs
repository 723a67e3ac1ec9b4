//! Progress of running attempts.

use super::Router;
use crate::action::Observation;
use crate::job::Run;
use crate::outcome::Outcome;
use crate::request::Id;
use crate::{Attempt, Now};

impl Router {
    /// Returns the running attempt of a request if its number is `attempt`; counts a stale event
    /// otherwise.
    fn current(&mut self, id: Id, attempt: Attempt) -> Option<&mut Run> {
        let job = self.jobs.get_mut(&id);
        let run = job
            .filter(|j| j.attempt == attempt)
            .and_then(|j| j.run.as_mut());
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
        let expected = hop == run.next_hop;
        let took = now.saturating_sub(run.last_progress);
        run.last_progress = now;
        run.silent = false;
        run.next_hop = hop + 1;
        let steady = run.tokens > 0 && expected;
        let Some(&endpoint) = run.endpoints.get(hop) else {
            return;
        };
        let target_time = run.target_times[hop];
        let Some(row) = endpoint.and_then(|e| self.fleet.get_mut(e)) else {
            return;
        };
        row.last_progress = now;
        if steady {
            let limit = row.limit();
            row.limiter
                .record_hop(now, took, target_time, row.in_flight);
            self.dispatch_needed |= row.limit() > limit;
        }
    }

    /// Records that the answer of an attempt has begun: the request is not repeatable any more.
    pub(super) fn committed(&mut self, now: Now, id: Id, attempt: Attempt) {
        if self.current(id, attempt).is_none() {
            return;
        }
        self.progress(now, id, attempt, 0);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.request.repeatable = false;
        }
    }

    pub(super) fn token(&mut self, now: Now, id: Id, attempt: Attempt) {
        let Some(run) = self.current(id, attempt) else {
            return;
        };
        run.tokens += 1;
        run.next_hop = 0;
        run.last_progress = now;
        run.silent = false;
        let first = (run.tokens == 1).then(|| now.saturating_sub(run.started));
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.tokens += 1;
        let target = job.request.target;
        if let Some(took) = first {
            self.meter(target).record_first_token(took);
        }
    }

    pub(super) fn finished(&mut self, now: Now, id: Id, attempt: Attempt) {
        if self.current(id, attempt).is_none() {
            return;
        }
        self.measure(now, id);
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let fingerprint = job.request.fingerprint;
        let rows = job
            .run
            .as_ref()
            .map(|r| r.endpoints.clone())
            .unwrap_or_default();
        for endpoint in rows.into_iter().flatten() {
            let Some(row) = self.fleet.get_mut(endpoint) else {
                continue;
            };
            if row.health.record_success(self.settings.trial_attempts) {
                self.report.restored += 1;
                self.observe(Observation::Restored(endpoint));
            }
        }
        self.crash.clear(fingerprint);
        self.release(now, id);
        self.finish(now, id, Outcome::Complete);
        self.rerank();
    }

    fn measure(&mut self, now: Now, id: Id) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let Some(run) = &job.run else { return };
        let took = now.saturating_sub(run.started);
        let (target, tokens, run_tokens) = (job.request.target, job.tokens, run.tokens);
        let (max_tokens, first_attempt) = (job.request.max_tokens, job.attempt == 1);
        let meter = self.meter(target);
        if run_tokens == 0 && first_attempt {
            meter.record_first_token(took);
        }
        let after = took.saturating_sub(std::time::Duration::from_secs_f64(meter.first_token));
        if first_attempt {
            meter.record_end(tokens, max_tokens, after);
        }
    }

    pub(super) fn left(&mut self, now: Now, id: Id) {
        if self.remove(now, id).is_some() {
            self.report.left += 1;
        }
    }
}
