//! Dispatch: starts what waits, urgent work first.

use super::Router;
use super::capacity::Mode;
use crate::Now;
use crate::action::Hop;
use crate::job::Job;
use crate::meter::Meter;
use crate::queue;
use crate::refusal::Reason;
use crate::request::{Id, Target};
use bundle::id::EndpointId;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Whether the deadline is out of reach even if the request started now.
fn misses_deadline(now: Now, job: &Job, meter: &Meter) -> bool {
    let fresh = job.attempt == 0 && !job.urgent;
    fresh && now + meter.service_time(job.request.max_tokens) > job.request.deadline
}

/// When to come back once the router has given up on what waited.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Rounds of one dispatch at most.
const MAX_ROUNDS: usize = 4;

impl Router {
    /// Starts what can start; rounds repeat while one frees places for the next.
    pub(super) fn dispatch(&mut self, now: Now) {
        for _ in 0..MAX_ROUNDS {
            if !std::mem::take(&mut self.dispatch_needed) {
                return;
            }
            self.round(now);
        }
    }

    fn round(&mut self, now: Now) {
        let mut lines = self.queue.lines();
        self.refuse_unserved(now, &lines);
        let none = BTreeSet::new();
        for &line in &lines {
            self.dispatch_urgent(now, line, &none);
        }
        for &line in &lines {
            self.dispatch_suspects(now, line);
        }
        // Isolation may have moved urgent work back into its line.
        let mut held = BTreeSet::new();
        for &line in &lines {
            if !self.dispatch_urgent(now, line, &none) {
                self.collect_endpoints(line, &mut held);
            }
        }
        let turn = self.ticks as usize % lines.len().max(1);
        lines.rotate_left(turn);
        for line in lines {
            self.dispatch_fair(now, line, &held);
        }
    }

    /// Gives up what waits for a target that nothing serves and that no return would serve.
    fn refuse_unserved(&mut self, now: Now, lines: &[Target]) {
        let lost: Vec<_> = lines
            .iter()
            .filter(|&&t| !self.is_served(t))
            .copied()
            .collect();
        for line in lost {
            let waiting = self.jobs.values().filter(|f| f.queue_entry.is_some());
            let here = waiting.filter(|f| queue::line(f.request.target) == line);
            let ids: Vec<Id> = here.map(|f| f.id()).collect();
            ids.into_iter()
                .for_each(|id| self.terminate(now, id, Reason::NoEndpoint, Some(RETRY_AFTER)));
        }
    }

    /// Starts urgent requests; whether none is left waiting.
    fn dispatch_urgent(&mut self, now: Now, line: Target, none: &BTreeSet<EndpointId>) -> bool {
        while let Some(id) = self.queue.line(line).and_then(|l| l.urgent().next()) {
            let started = self.launch(now, id, Mode::Urgent, none) || self.preempt(now, id);
            if !started && !self.release_line_reservation(now, line) {
                return false;
            }
        }
        true
    }

    /// Keeps the endpoints of a line from work that is not urgent.
    pub(super) fn collect_endpoints(&self, line: Target, held: &mut BTreeSet<EndpointId>) {
        match line {
            Target::Model(model, _) => {
                let graph = self
                    .plan
                    .full
                    .get(model as usize)
                    .filter(|g| g.max_flow > 0.0);
                held.extend(graph.iter().flat_map(|g| &g.stages).map(|s| s.endpoint));
            }
            Target::Service(service) => {
                held.extend(
                    self.plan
                        .services
                        .get(service as usize)
                        .into_iter()
                        .flatten(),
                );
            }
        }
    }

    fn dispatch_fair(&mut self, now: Now, line: Target, held: &BTreeSet<EndpointId>) {
        while self.start_one(now, line, held) {}
    }

    /// Starts or gives up one request of a line; whether it did. First looks for one whose
    /// prefix is cached where there is a place: without this, a freed slot goes to whatever
    /// comes next, and each endpoint's cache is filled with everything.
    fn start_one(&mut self, now: Now, line: Target, held: &BTreeSet<EndpointId>) -> bool {
        let window = self
            .queue
            .line(line)
            .map(|l| l.window(self.limits.cache_window));
        let window = window.unwrap_or_default();
        let meter = self.meters.get(&line).copied().unwrap_or_default();
        let late = |id: &&Id| {
            self.jobs
                .get(*id)
                .is_some_and(|f| misses_deadline(now, f, &meter))
        };
        if let Some(&id) = window.iter().find(late) {
            self.terminate(now, id, Reason::Overload, Some(RETRY_AFTER));
            return true;
        }
        let cached: Vec<Id> = window
            .iter()
            .copied()
            .filter(|&id| self.begin_cache_wait(now, id))
            .collect();
        self.start_cached(now, &cached, held) || self.start_next(now, &window, &meter, held)
    }

    /// Starts one of these where its prefix is likely to be cached, or, after a while, where
    /// there is much room.
    fn start_cached(&mut self, now: Now, ids: &[Id], held: &BTreeSet<EndpointId>) -> bool {
        for mode in [Mode::Fair, Mode::Spare] {
            if ids
                .iter()
                .any(|&id| self.launch_cached(now, id, mode, held))
            {
                return true;
            }
        }
        let spread = ids.iter().find(|id| self.may_spread(now, **id)).copied();
        spread.is_some_and(|id| self.launch(now, id, Mode::Spare, held))
    }

    /// Starts the first request that does not rather wait for a cached place.
    fn start_next(
        &mut self,
        now: Now,
        window: &[Id],
        meter: &Meter,
        held: &BTreeSet<EndpointId>,
    ) -> bool {
        let next = window
            .iter()
            .find(|id| !self.waits_for_cache(now, **id, meter))
            .copied();
        next.is_some_and(|id| self.launch(now, id, Mode::Fair, held))
    }

    /// Pauses work that yields on each full endpoint of a chain and starts an urgent request
    /// there; whether it started.
    fn preempt(&mut self, now: Now, id: Id) -> bool {
        let yields = self.count_preemptible();
        if yields.is_empty() {
            return false;
        }
        let none = BTreeSet::new();
        let Some(hops) = self.select_chain(now, id, Mode::Preempt, &none, &yields) else {
            return false;
        };
        for hop in &hops {
            self.free_slot(now, hop);
        }
        self.start(now, id, hops, Mode::Urgent);
        true
    }

    /// By endpoint: running work that yields to urgent work.
    fn count_preemptible(&self) -> BTreeMap<EndpointId, u32> {
        let mut yields = BTreeMap::new();
        let runs = self
            .jobs
            .values()
            .filter(|f| f.is_preemptible())
            .filter_map(|f| f.run.as_ref());
        for endpoint in runs.flat_map(|r| r.endpoints.iter().flatten()) {
            *yields.entry(*endpoint).or_default() += 1;
        }
        yields
    }

    fn free_slot(&mut self, now: Now, hop: &Hop) {
        while self
            .fleet
            .get(hop.endpoint)
            .is_some_and(|r| r.in_flight >= r.limit())
        {
            let on = self
                .jobs
                .values()
                .filter(|f| f.is_preemptible() && f.runs_on(hop.endpoint));
            let least = on.max_by_key(|f| (f.request.priority, std::cmp::Reverse(f.tokens), f.seq));
            let Some(victim) = least.map(|f| f.id()) else {
                return;
            };
            self.pause(now, victim);
            self.report.paused += 1;
        }
    }

    /// Stops an attempt that yields; it goes on later from the tokens it had.
    pub(super) fn pause(&mut self, now: Now, id: Id) {
        self.cancel(now, id);
        self.jobs
            .get_mut(&id)
            .into_iter()
            .for_each(|f| f.paused = true);
        self.enqueue(now, id);
    }
}
