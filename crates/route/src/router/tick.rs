//! Periodic work: silence, timeouts, deadlines and refills.

use super::Router;
use crate::Now;
use crate::action::Action;
use crate::failure::Cause;
use crate::fleet::Row;
use crate::health::State;
use crate::job::{Job, Phase};
use crate::queue;
use crate::refusal::Reason;
use crate::request::Id;
use bundle::id::EndpointId;
use std::time::Duration;

/// Number of ticks between two dispatches when no event requires one.
const DISPATCH_INTERVAL_TICKS: u64 = 5;
/// Time before the first token that counts as silence, as a multiple of the mean.
const FIRST_TOKEN_MULTIPLE: f64 = 6.0;
/// Factor on the silence timeout of work that can't be repeated, since abandoning it early gains
/// nothing.
const NON_REPEATABLE_FACTOR: u32 = 2;

/// Time between two ticks above which this node is considered to have been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(200);
/// Number of ticks between two checks for slow endpoints.
const SLOW_CHECK_INTERVAL_TICKS: u64 = 5;
/// Minimum slowdown of a slow endpoint, both against its target time and against the median
/// endpoint.
const SLOW_FACTOR: f64 = 8.0;

impl Router {
    pub(super) fn tick(&mut self, now: Now) {
        self.ticks += 1;
        self.discount_pause(now);
        self.dispatch_needed |= self.ticks.is_multiple_of(DISPATCH_INTERVAL_TICKS);
        let rate = self.view.as_ref().map_or(0.0, |v| v.retry_rate);
        let running = self.running_count();
        self.budget
            .refill(now, rate, self.settings.retry_burst, running);
        self.conclude_verdicts(now);
        self.expire_deadlines(now);
        self.check_probes(now);
        self.check_silence(now);
        self.unpark(now);
        if self.ticks.is_multiple_of(SLOW_CHECK_INTERVAL_TICKS) {
            self.reroute_slow(now);
        }
    }

    /// Moves one movable request away from each endpoint that is many times slower than the
    /// others, within the retry budget. Such an endpoint delays all of its streams without ever
    /// being detected as dead or silent.
    fn reroute_slow(&mut self, now: Now) {
        let rows = || {
            self.fleet
                .rows
                .iter()
                .filter(|r| r.health.accepts_work() && r.limiter.slowdown > 0.0)
        };
        let mut slowdowns: Vec<f64> = rows().map(|r| r.limiter.slowdown).collect();
        slowdowns.sort_by(f64::total_cmp);
        let median = slowdowns.get(slowdowns.len() / 2).copied().unwrap_or(0.0);
        let slow =
            |r: &Row| r.in_flight > 0 && r.slowdown(now) > (median * SLOW_FACTOR).max(SLOW_FACTOR);
        let rows = self.fleet.rows.iter().zip(0..).filter(|(r, _)| slow(r));
        let endpoints: Vec<EndpointId> = rows.map(|(_, id)| id).collect();
        for endpoint in endpoints {
            let here = self
                .jobs
                .values()
                .filter(|j| j.is_movable() && j.runs_on(endpoint));
            let alone = |j: &&Job| j.run.as_ref().is_some_and(|r| r.isolated);
            let Some(id) = here.filter(|j| !alone(j)).map(|j| j.id()).next() else {
                continue;
            };
            if !self.budget.take() {
                return;
            }
            self.report.slow += 1;
            self.jobs
                .get_mut(&id)
                .into_iter()
                .for_each(|j| j.avoid.push(endpoint));
            self.pause(now, id);
        }
    }

    /// Excludes time in which this node itself was paused: progress and answers to probes may have
    /// arrived meanwhile and wait to be read. Otherwise a paused node would consider all endpoints
    /// dead and report so to the other nodes.
    fn discount_pause(&mut self, now: Now) {
        let last = std::mem::replace(&mut self.last_tick, now);
        let gap = now.saturating_sub(last);
        if gap <= PAUSE_THRESHOLD {
            return;
        }
        for row in &mut self.fleet.rows {
            if let State::Probing(since) = &mut row.health.state {
                *since = (*since + gap).min(now);
            }
        }
        let runs = self.jobs.values_mut().filter_map(|j| j.run.as_mut());
        runs.for_each(|run| run.last_progress = (run.last_progress + gap).min(now));
    }

    /// Ends waiting requests whose deadline has passed; running answers continue.
    fn expire_deadlines(&mut self, now: Now) {
        while let Some(&(deadline, id)) = self.deadlines.first() {
            if deadline > now {
                return;
            }
            self.deadlines.pop_first();
            let waits = self
                .jobs
                .get(&id)
                .is_some_and(|j| j.phase != Phase::Running);
            if waits {
                self.terminate(now, id, Reason::Deadline, None);
            }
        }
    }

    /// Probes endpoints whose ejection has expired, and fails probes that timed out.
    fn check_probes(&mut self, now: Now) {
        for id in 0..self.fleet.rows.len() as EndpointId {
            let row = &mut self.fleet.rows[id as usize];
            if row.available && row.health.begin_return_probe(now) {
                self.report.probes += 1;
                self.actions.push(Action::Probe(id));
                continue;
            }
            let timed_out = |since: Now| since + self.settings.probe_timeout <= now;
            if matches!(row.health.state, State::Probing(since) if timed_out(since)) {
                self.probed(now, id, false);
            }
        }
    }

    /// Finds attempts without progress and has their endpoints probed.
    fn check_silence(&mut self, now: Now) {
        let running = self.jobs.values().filter(|j| j.run.is_some());
        let silent = running.filter(|j| self.is_silent(now, j));
        let ids: Vec<(Id, Option<EndpointId>)> =
            silent.map(|j| (j.id(), j.current_endpoint())).collect();
        for (id, endpoint) in ids {
            let run = self.jobs.get_mut(&id).and_then(|j| j.run.as_mut());
            let Some(run) = run else { continue };
            run.silent = true;
            match endpoint {
                Some(endpoint) => self.suspect_death(now, endpoint),
                None => self.fail_over(now, id, None, Cause::Silent),
            }
        }
    }

    fn is_silent(&self, now: Now, job: &Job) -> bool {
        let Some(run) = &job.run else { return false };
        if run.silent {
            return false;
        }
        let row = job.current_endpoint().and_then(|e| self.fleet.get(e));
        let base_timeout = match row {
            Some(row) if run.tokens > 0 => row
                .limiter
                .silence_timeout(self.settings.min_silence, self.settings.first_token_timeout),
            _ => self.first_token_timeout(job),
        };
        let timeout = if job.request.repeatable {
            base_timeout
        } else {
            base_timeout * NON_REPEATABLE_FACTOR
        };
        now.saturating_sub(run.last_progress) > timeout
    }

    fn first_token_timeout(&self, job: &Job) -> Duration {
        let line = queue::line(job.request.target);
        let mean = self.meters.get(&line).map_or(0.0, |m| m.first_token);
        self.settings
            .first_token_timeout
            .max(Duration::from_secs_f64(mean * FIRST_TOKEN_MULTIPLE))
    }
}
