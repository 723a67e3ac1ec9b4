//! Dispatch: starts waiting requests, urgent ones first.

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

/// Returns whether a new request would miss its deadline even if it started now.
fn misses_deadline(now: Now, job: &Job, meter: &Meter) -> bool {
    let unstarted = job.attempt == 0 && !job.urgent;
    unstarted && now + meter.service_time(job.request.max_tokens) > job.request.deadline
}

/// Retry-after delay of requests that are refused while they wait.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Maximum number of rounds of one dispatch.
const MAX_ROUNDS: usize = 4;

impl Router {
    /// Starts all requests that can start. Rounds repeat while one of them frees capacity for the
    /// next.
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
        let mut reserved = BTreeSet::new();
        for &line in &lines {
            if !self.dispatch_urgent(now, line, &none) {
                self.collect_endpoints(line, &mut reserved);
            }
        }
        let rotation = self.ticks as usize % lines.len().max(1);
        lines.rotate_left(rotation);
        for line in lines {
            self.dispatch_fair(now, line, &reserved);
        }
    }

    /// Ends requests that wait for a target which no endpoint serves, not even one that may return
    /// from an ejection.
    fn refuse_unserved(&mut self, now: Now, lines: &[Target]) {
        let unserved: Vec<_> = lines
            .iter()
            .filter(|&&t| !self.is_served(t))
            .copied()
            .collect();
        for line in unserved {
            let waiting = self.jobs.values().filter(|j| j.queue_entry.is_some());
            let here = waiting.filter(|j| queue::line(j.request.target) == line);
            let ids: Vec<Id> = here.map(|j| j.id()).collect();
            ids.into_iter()
                .for_each(|id| self.terminate(now, id, Reason::NoEndpoint, Some(RETRY_AFTER)));
        }
    }

    /// Starts urgent requests; returns whether none is left waiting.
    fn dispatch_urgent(&mut self, now: Now, line: Target, none: &BTreeSet<EndpointId>) -> bool {
        while let Some(id) = self.queue.line(line).and_then(|l| l.urgent().next()) {
            let started = self.launch(now, id, Mode::Urgent, none) || self.preempt(now, id);
            if !started && !self.release_line_reservation(now, line) {
                return false;
            }
        }
        true
    }

    /// Adds the endpoints that can serve a line to `reserved`, so that work that is not urgent
    /// leaves them free.
    pub(super) fn collect_endpoints(&self, line: Target, reserved: &mut BTreeSet<EndpointId>) {
        match line {
            Target::Model(model, _) => {
                let graph = self
                    .plan
                    .full
                    .get(model as usize)
                    .filter(|g| g.max_flow > 0.0);
                reserved.extend(graph.iter().flat_map(|g| &g.stages).map(|s| s.endpoint));
            }
            Target::Service(service) => {
                reserved.extend(
                    self.plan
                        .services
                        .get(service as usize)
                        .into_iter()
                        .flatten(),
                );
            }
        }
    }

    fn dispatch_fair(&mut self, now: Now, line: Target, reserved: &BTreeSet<EndpointId>) {
        while self.start_one(now, line, reserved) {}
    }

    /// Starts or ends one request of a line; returns whether it did. Prefers a request whose prefix
    /// is cached on an endpoint with free capacity. Otherwise a freed slot would go to whichever
    /// request is next, and the cache of each endpoint would fill with all prefixes.
    fn start_one(&mut self, now: Now, line: Target, reserved: &BTreeSet<EndpointId>) -> bool {
        let window = self
            .queue
            .line(line)
            .map(|l| l.window(self.settings.cache_window));
        let window = window.unwrap_or_default();
        let meter = self.meters.get(&line).copied().unwrap_or_default();
        let late = |id: &&Id| {
            self.jobs
                .get(*id)
                .is_some_and(|j| misses_deadline(now, j, &meter))
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
        self.start_cached(now, &cached, reserved) || self.start_next(now, &window, &meter, reserved)
    }

    /// Starts one of these requests where its prefix is likely to be cached or, after a wait, on
    /// endpoints with ample free capacity.
    fn start_cached(&mut self, now: Now, ids: &[Id], reserved: &BTreeSet<EndpointId>) -> bool {
        for mode in [Mode::Fair, Mode::Spare] {
            if ids
                .iter()
                .any(|&id| self.launch_cached(now, id, mode, reserved))
            {
                return true;
            }
        }
        let spreading = ids.iter().find(|id| self.may_spread(now, **id)).copied();
        spreading.is_some_and(|id| self.launch(now, id, Mode::Spare, reserved))
    }

    /// Starts the first request that is not waiting for an endpoint with its prefix.
    fn start_next(
        &mut self,
        now: Now,
        window: &[Id],
        meter: &Meter,
        reserved: &BTreeSet<EndpointId>,
    ) -> bool {
        let next = window
            .iter()
            .find(|id| !self.waits_for_cache(now, **id, meter))
            .copied();
        next.is_some_and(|id| self.launch(now, id, Mode::Fair, reserved))
    }

    /// Pauses preemptible attempts on each full endpoint of a chain and starts an urgent request
    /// there; returns whether it started.
    fn preempt(&mut self, now: Now, id: Id) -> bool {
        let preemptible = self.count_preemptible();
        if preemptible.is_empty() {
            return false;
        }
        let none = BTreeSet::new();
        let Some(hops) = self.select_chain(now, id, Mode::Preempt, &none, &preemptible) else {
            return false;
        };
        for hop in &hops {
            self.free_slot(now, hop);
        }
        self.start(now, id, hops, Mode::Urgent);
        true
    }

    /// Returns the number of preemptible attempts, by endpoint.
    fn count_preemptible(&self) -> BTreeMap<EndpointId, u32> {
        let mut preemptible = BTreeMap::new();
        let runs = self
            .jobs
            .values()
            .filter(|j| j.is_preemptible())
            .filter_map(|j| j.run.as_ref());
        for endpoint in runs.flat_map(|r| r.endpoints.iter().flatten()) {
            *preemptible.entry(*endpoint).or_default() += 1;
        }
        preemptible
    }

    fn free_slot(&mut self, now: Now, hop: &Hop) {
        while self
            .fleet
            .get(hop.endpoint)
            .is_some_and(|r| r.in_flight >= r.limit())
        {
            let running = self
                .jobs
                .values()
                .filter(|j| j.is_preemptible() && j.runs_on(hop.endpoint));
            let candidate =
                running.max_by_key(|j| (j.request.priority, std::cmp::Reverse(j.tokens), j.seq));
            let Some(victim) = candidate.map(|j| j.id()) else {
                return;
            };
            self.pause(now, victim);
            self.report.paused += 1;
        }
    }

    /// Cancels a preemptible attempt; the request resumes later from the tokens generated so far.
    pub(super) fn pause(&mut self, now: Now, id: Id) {
        self.cancel(now, id);
        self.jobs
            .get_mut(&id)
            .into_iter()
            .for_each(|j| j.paused = true);
        self.enqueue(now, id);
    }
}
