//! What time alone brings about: silence, timeouts, deadlines, refills.

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

/// Ticks between two tries to start what waits, when nothing else stirs.
const DISPATCH_INTERVAL_TICKS: u64 = 5;
/// Time before the first token that counts as silence, as a multiple of the usual one.
const FIRST_TOKEN_MULTIPLE: f64 = 6.0;
/// Factor on the time that counts as silence for work that can't be repeated: nothing is gained
/// by giving it up early.
const NON_REPEATABLE_FACTOR: u32 = 2;

/// Time between two ticks from which on this node stood still.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(200);
/// Ticks between two looks for slow endpoints.
const SLOW_CHECK_INTERVAL_TICKS: u64 = 5;
/// Factor above the aimed time, and above the middle endpoint, from which one counts as slow.
const SLOW_FACTOR: f64 = 8.0;

impl Router {
    pub(super) fn tick(&mut self, now: Now) {
        self.ticks += 1;
        self.discount_pause(now);
        self.dispatch_needed |= self.ticks.is_multiple_of(DISPATCH_INTERVAL_TICKS);
        let rate = self.view.as_ref().map_or(0.0, |v| v.retry_rate);
        let running = self.running_count();
        self.budget
            .refill(now, rate, self.limits.retry_burst, running);
        self.conclude_verdicts(now);
        self.expire_deadlines(now);
        self.check_probes(now);
        self.check_silence(now);
        self.unpark(now);
        if self.ticks.is_multiple_of(SLOW_CHECK_INTERVAL_TICKS) {
            self.reroute_slow(now);
        }
    }

    /// Moves one repeatable request away from each endpoint that has become many times slower
    /// than the others, within the retry budget: such a stage holds each of its streams back,
    /// but neither dies nor goes silent.
    fn reroute_slow(&mut self, now: Now) {
        let rows = || {
            self.fleet
                .rows
                .iter()
                .filter(|r| r.health.accepts_work() && r.limiter.slowdown > 0.0)
        };
        let mut usual: Vec<f64> = rows().map(|r| r.limiter.slowdown).collect();
        usual.sort_by(f64::total_cmp);
        let middle = usual.get(usual.len() / 2).copied().unwrap_or(0.0);
        let slow =
            |r: &Row| r.in_flight > 0 && r.slowdown(now) > (middle * SLOW_FACTOR).max(SLOW_FACTOR);
        let rows = self.fleet.rows.iter().zip(0..).filter(|(r, _)| slow(r));
        let endpoints: Vec<EndpointId> = rows.map(|(_, id)| id).collect();
        for endpoint in endpoints {
            let here = self
                .jobs
                .values()
                .filter(|f| f.request.repeatable && f.runs_on(endpoint));
            let alone = |f: &&Job| f.run.as_ref().is_some_and(|r| r.isolated);
            let Some(id) = here.filter(|f| !alone(f)).map(|f| f.id()).next() else {
                continue;
            };
            if !self.budget.take() {
                return;
            }
            self.report.slow += 1;
            self.jobs
                .get_mut(&id)
                .into_iter()
                .for_each(|f| f.avoid.push(endpoint));
            self.pause(now, id);
        }
    }

    /// Does not count time in which this node itself stood still: progress and answers to probes
    /// may have come meanwhile and wait to be read. Without this, a paused node takes every
    /// endpoint for dead and tells the others.
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
        let runs = self.jobs.values_mut().filter_map(|f| f.run.as_mut());
        runs.for_each(|run| run.last_progress = (run.last_progress + gap).min(now));
    }

    /// Gives up what waits past its deadline; a running answer goes on.
    fn expire_deadlines(&mut self, now: Now) {
        while let Some(&(deadline, id)) = self.deadlines.first() {
            if deadline > now {
                return;
            }
            self.deadlines.pop_first();
            let waits = self
                .jobs
                .get(&id)
                .is_some_and(|f| f.phase != Phase::Running);
            if waits {
                self.terminate(now, id, Reason::Deadline, None);
            }
        }
    }

    /// Probes endpoints whose time out of use is over, and ends probes without an answer.
    fn check_probes(&mut self, now: Now) {
        for id in 0..self.fleet.rows.len() as EndpointId {
            let row = &mut self.fleet.rows[id as usize];
            if row.available && row.health.begin_return_probe(now) {
                self.report.probes += 1;
                self.actions.push(Action::Probe(id));
                continue;
            }
            let late = |since: Now| since + self.limits.probe_timeout <= now;
            if matches!(row.health.state, State::Probing(since) if late(since)) {
                self.probed(now, id, false);
            }
        }
    }

    /// Finds attempts without progress.
    fn check_silence(&mut self, now: Now) {
        let running = self.jobs.values().filter(|f| f.run.is_some());
        let quiet = running.filter(|f| self.is_silent(now, f));
        let ids: Vec<(Id, Option<EndpointId>)> =
            quiet.map(|f| (f.id(), f.current_endpoint())).collect();
        for (id, endpoint) in ids {
            let run = self.jobs.get_mut(&id).and_then(|f| f.run.as_mut());
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
        let usual = match row {
            Some(row) if run.tokens > 0 => row
                .limiter
                .silence_timeout(self.limits.min_silence, self.limits.first_token_timeout),
            _ => self.first_token_timeout(job),
        };
        let patience = if job.request.repeatable {
            usual
        } else {
            usual * NON_REPEATABLE_FACTOR
        };
        now.saturating_sub(run.last_progress) > patience
    }

    fn first_token_timeout(&self, job: &Job) -> Duration {
        let line = queue::line(job.request.target);
        let usual = self.meters.get(&line).map_or(0.0, |m| m.first_token);
        self.limits
            .first_token_timeout
            .max(Duration::from_secs_f64(usual * FIRST_TOKEN_MULTIPLE))
    }
}
