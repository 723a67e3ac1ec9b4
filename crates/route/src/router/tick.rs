//! What time alone brings about: silence, timeouts, deadlines, refills.

use super::Router;
use crate::Now;
use crate::action::Action;
use crate::failure::Cause;
use crate::fleet::Row;
use crate::flight::{Flight, Phase};
use crate::health::State;
use crate::queue;
use crate::refusal::Reason;
use crate::request::Id;
use bundle::id::EndpointId;
use std::time::Duration;

/// Ticks between two tries to start what waits, when nothing else stirs.
const STIR: u64 = 5;
/// Time before the first token that counts as silence, as a multiple of the usual one.
const FIRST: f64 = 6.0;
/// Factor on the time that counts as silence for work that can't be repeated: nothing is gained
/// by giving it up early.
const ONCE: u32 = 2;

/// Time between two ticks from which on this node stood still.
const PAUSE: Duration = Duration::from_millis(200);
/// Ticks between two looks for slow endpoints.
const LEAVE_SLOW: u64 = 5;
/// Factor above the aimed time, and above the middle endpoint, from which one counts as slow.
const SLOW: f64 = 8.0;

impl Router {
    pub(super) fn tick(&mut self, now: Now) {
        self.ticks += 1;
        self.excuse(now);
        self.stirred |= self.ticks.is_multiple_of(STIR);
        let rate = self.view.as_ref().map_or(0.0, |v| v.retries);
        let running = self.running();
        self.budget
            .fill(now, rate, self.limits.retry_burst, running);
        self.settle(now);
        self.expire(now);
        self.revive(now);
        self.listen(now);
        self.unpark(now);
        if self.ticks.is_multiple_of(LEAVE_SLOW) {
            self.leave_slow(now);
        }
    }

    /// Moves one repeatable request away from each endpoint that has become many times slower
    /// than the others, within the retry budget: such a stage holds each of its streams back,
    /// but neither dies nor goes silent.
    fn leave_slow(&mut self, now: Now) {
        let rows = || {
            self.fleet
                .rows
                .iter()
                .filter(|r| r.health.takes() && r.pace.slow > 0.0)
        };
        let mut usual: Vec<f64> = rows().map(|r| r.pace.slow).collect();
        usual.sort_by(f64::total_cmp);
        let middle = usual.get(usual.len() / 2).copied().unwrap_or(0.0);
        let slow = |r: &Row| r.flying > 0 && r.slowness(now) > (middle * SLOW).max(SLOW);
        let rows = self.fleet.rows.iter().zip(0..).filter(|(r, _)| slow(r));
        let endpoints: Vec<EndpointId> = rows.map(|(_, id)| id).collect();
        for endpoint in endpoints {
            let here = self
                .flights
                .values()
                .filter(|f| f.request.repeatable && f.on(endpoint));
            let alone = |f: &&Flight| f.run.as_ref().is_some_and(|r| r.alone);
            let Some(id) = here.filter(|f| !alone(f)).map(|f| f.id()).next() else {
                continue;
            };
            if !self.budget.take() {
                return;
            }
            self.report.slow += 1;
            self.flights
                .get_mut(&id)
                .into_iter()
                .for_each(|f| f.avoid.push(endpoint));
            self.pause(now, id);
        }
    }

    /// Does not count time in which this node itself stood still: progress and answers to probes
    /// may have come meanwhile and wait to be read. Without this, a paused node takes every
    /// endpoint for dead and tells the others.
    fn excuse(&mut self, now: Now) {
        let last = std::mem::replace(&mut self.ticked, now);
        let gap = now.saturating_sub(last);
        if gap <= PAUSE {
            return;
        }
        for row in &mut self.fleet.rows {
            if let State::Probing(since) = &mut row.health.state {
                *since = (*since + gap).min(now);
            }
        }
        let runs = self.flights.values_mut().filter_map(|f| f.run.as_mut());
        runs.for_each(|run| run.since = (run.since + gap).min(now));
    }

    /// Gives up what waits past its deadline; a running answer goes on.
    fn expire(&mut self, now: Now) {
        while let Some(&(deadline, id)) = self.deadlines.first() {
            if deadline > now {
                return;
            }
            self.deadlines.pop_first();
            let waits = self
                .flights
                .get(&id)
                .is_some_and(|f| f.phase != Phase::Running);
            if waits {
                self.give_up(now, id, Reason::Deadline, None);
            }
        }
    }

    /// Probes endpoints whose time out of use is over, and ends probes without an answer.
    fn revive(&mut self, now: Now) {
        for id in 0..self.fleet.rows.len() as EndpointId {
            let row = &mut self.fleet.rows[id as usize];
            if row.open && row.health.due(now) {
                self.report.probes += 1;
                self.out.push(Action::Probe(id));
                continue;
            }
            let late = |since: Now| since + self.limits.probe <= now;
            if matches!(row.health.state, State::Probing(since) if late(since)) {
                self.probed(now, id, false);
            }
        }
    }

    /// Finds attempts without progress.
    fn listen(&mut self, now: Now) {
        let running = self.flights.values().filter(|f| f.run.is_some());
        let quiet = running.filter(|f| self.quiet(now, f));
        let ids: Vec<(Id, Option<EndpointId>)> = quiet.map(|f| (f.id(), f.due())).collect();
        for (id, endpoint) in ids {
            let run = self.flights.get_mut(&id).and_then(|f| f.run.as_mut());
            let Some(run) = run else { continue };
            run.silent = true;
            match endpoint {
                Some(endpoint) => self.suspect_death(now, endpoint),
                None => self.lose(now, id, None, Cause::Silent),
            }
        }
    }

    fn quiet(&self, now: Now, flight: &Flight) -> bool {
        let Some(run) = &flight.run else { return false };
        if run.silent {
            return false;
        }
        let row = flight.due().and_then(|e| self.fleet.get(e));
        let usual = match row {
            Some(row) if run.made > 0 => row.pace.silence(self.limits.silence, self.limits.first),
            _ => self.first(flight),
        };
        let patience = if flight.request.repeatable {
            usual
        } else {
            usual * ONCE
        };
        now.saturating_sub(run.since) > patience
    }

    fn first(&self, flight: &Flight) -> Duration {
        let line = queue::line(flight.request.target);
        let usual = self.meters.get(&line).map_or(0.0, |m| m.first);
        self.limits
            .first
            .max(Duration::from_secs_f64(usual * FIRST))
    }
}
