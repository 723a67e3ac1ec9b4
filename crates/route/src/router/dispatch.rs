//! Dispatch: starts what waits, urgent work first.

use super::Router;
use super::eyes::Mode;
use crate::Now;
use crate::action::Hop;
use crate::flight::Flight;
use crate::meter::Meter;
use crate::queue;
use crate::refusal::Reason;
use crate::request::{Id, Target};
use bundle::id::EndpointId;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Whether the deadline is out of reach even if the request started now.
fn hopeless(now: Now, flight: &Flight, meter: &Meter) -> bool {
    let fresh = flight.attempt == 0 && !flight.urgent;
    fresh && now + meter.service(flight.request.most) > flight.request.deadline
}

/// When to come back once the router has given up on what waited.
const LATER: Duration = Duration::from_secs(1);

/// Rounds of one dispatch at most.
const ROUNDS: usize = 4;

impl Router {
    /// Starts what can start; rounds repeat while one frees places for the next.
    pub(super) fn dispatch(&mut self, now: Now) {
        for _ in 0..ROUNDS {
            if !std::mem::take(&mut self.stirred) {
                return;
            }
            self.round(now);
        }
    }

    fn round(&mut self, now: Now) {
        let mut lines = self.queue.lines();
        self.abandon(now, &lines);
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
                self.hold(line, &mut held);
            }
        }
        let turn = self.ticks as usize % lines.len().max(1);
        lines.rotate_left(turn);
        for line in lines {
            self.dispatch_fair(now, line, &held);
        }
    }

    /// Gives up what waits for a target that nothing serves and that no return would serve.
    fn abandon(&mut self, now: Now, lines: &[Target]) {
        let lost: Vec<_> = lines
            .iter()
            .filter(|&&t| !self.served(t))
            .copied()
            .collect();
        for line in lost {
            let waiting = self.flights.values().filter(|f| f.entry.is_some());
            let here = waiting.filter(|f| queue::line(f.request.target) == line);
            let ids: Vec<Id> = here.map(|f| f.id()).collect();
            ids.into_iter()
                .for_each(|id| self.give_up(now, id, Reason::NoEndpoint, Some(LATER)));
        }
    }

    /// Starts urgent requests; whether none is left waiting.
    fn dispatch_urgent(&mut self, now: Now, line: Target, none: &BTreeSet<EndpointId>) -> bool {
        while let Some(id) = self.queue.line(line).and_then(|l| l.urgent().next()) {
            let started = self.launch(now, id, Mode::Urgent, none) || self.preempt(now, id);
            if !started && !self.unward_line(now, line) {
                return false;
            }
        }
        true
    }

    /// Keeps the endpoints of a line from work that is not urgent.
    pub(super) fn hold(&self, line: Target, held: &mut BTreeSet<EndpointId>) {
        match line {
            Target::Model(model, _) => {
                let graph = self
                    .plan
                    .whole
                    .get(model as usize)
                    .filter(|g| g.bound > 0.0);
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
        let window = self.queue.line(line).map(|l| l.window(self.limits.window));
        let window = window.unwrap_or_default();
        let meter = self.meters.get(&line).copied().unwrap_or_default();
        let late = |id: &&Id| {
            self.flights
                .get(*id)
                .is_some_and(|f| hopeless(now, f, &meter))
        };
        if let Some(&id) = window.iter().find(late) {
            self.give_up(now, id, Reason::Overload, Some(LATER));
            return true;
        }
        let cached: Vec<Id> = window
            .iter()
            .copied()
            .filter(|&id| self.prefers(now, id))
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
        let spread = ids.iter().find(|id| self.spreads(now, **id)).copied();
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
            .find(|id| !self.lingers(now, **id, meter))
            .copied();
        next.is_some_and(|id| self.launch(now, id, Mode::Fair, held))
    }

    /// Pauses work that yields on each full endpoint of a chain and starts an urgent request
    /// there; whether it started.
    fn preempt(&mut self, now: Now, id: Id) -> bool {
        let yields = self.yields();
        if yields.is_empty() {
            return false;
        }
        let none = BTreeSet::new();
        let Some(hops) = self.pick(now, id, Mode::Preempt, &none, &yields) else {
            return false;
        };
        for hop in &hops {
            self.make_room(now, hop);
        }
        self.start(now, id, hops, Mode::Urgent);
        true
    }

    /// By endpoint: running work that yields to urgent work.
    fn yields(&self) -> BTreeMap<EndpointId, u32> {
        let mut yields = BTreeMap::new();
        let runs = self
            .flights
            .values()
            .filter(|f| f.yields())
            .filter_map(|f| f.run.as_ref());
        for endpoint in runs.flat_map(|r| r.rows.iter().flatten()) {
            *yields.entry(*endpoint).or_default() += 1;
        }
        yields
    }

    fn make_room(&mut self, now: Now, hop: &Hop) {
        while self
            .fleet
            .get(hop.endpoint)
            .is_some_and(|r| r.flying >= r.limit())
        {
            let on = self
                .flights
                .values()
                .filter(|f| f.yields() && f.on(hop.endpoint));
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
        self.flights
            .get_mut(&id)
            .into_iter()
            .for_each(|f| f.paused = true);
        self.enqueue(now, id);
    }
}
