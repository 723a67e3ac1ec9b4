//! Check of the invariants: recounts everything from the requests alone.

use super::Router;
use super::eyes::{Eyes, Mode};
use crate::action::Action;
use crate::choose::Choice;
use crate::finding::{Fault, Finding, Place};
use crate::flight::{Flight, Phase};
use crate::queue::{self, Rank};
use crate::request::Target;
use bundle::id::{EndpointId, TeamId};
use std::collections::{BTreeMap, BTreeSet};

/// Rounding error allowed in sums of fractions.
const ROUNDING: f64 = 1e-6;

impl Router {
    /// Everything that is wrong: what was found on the way, and a recount of all tables.
    pub fn verify(&self) -> Vec<Finding> {
        let mut found = self.findings.clone();
        self.check_rows(&mut found);
        self.check_queue(&mut found);
        self.check_teams(&mut found);
        self.check_budget(&mut found);
        found
    }

    fn check_rows(&self, found: &mut Vec<Finding>) {
        let mut flying: BTreeMap<EndpointId, Vec<&Flight>> = BTreeMap::new();
        for flight in self.flights.values() {
            let run = flight.run.as_ref();
            for &endpoint in run.iter().flat_map(|r| r.rows.iter().flatten()) {
                flying.entry(endpoint).or_default().push(flight);
            }
        }
        for (id, row) in self.fleet.rows.iter().enumerate() {
            let id = id as EndpointId;
            let here = flying.get(&id).map_or(&[][..], Vec::as_slice);
            let mut report = |fault| {
                found.push(Finding {
                    place: Place::Endpoint(id),
                    fault,
                })
            };
            if here.len() != row.flying as usize {
                report(Fault::Count(u64::from(row.flying), here.len() as u64));
            }
            let alone = here
                .iter()
                .find(|f| f.run.as_ref().is_some_and(|r| r.alone));
            if alone.is_some_and(|a| here.iter().any(|f| f.id() != a.id())) {
                report(Fault::Shared(id));
            }
            if row.health.out() && row.flying > 0 {
                report(Fault::Closed(id));
            }
        }
    }

    fn check_queue(&self, found: &mut Vec<Finding>) {
        let mut report = |fault| {
            found.push(Finding {
                place: Place::Queue,
                fault,
            })
        };
        let (urgent, fair) = self.queue.recount();
        let queued = self.flights.values().filter(|f| f.entry.is_some()).count();
        let pairs = [
            (self.queue.urgent, urgent),
            (self.queue.fair, fair),
            (queued, urgent + fair),
            (self.flights.len(), self.audit.live()),
        ];
        for (count, recount) in pairs.into_iter().filter(|(a, b)| a != b) {
            report(Fault::Count(count as u64, recount as u64));
        }
        let fresh = |urgent| {
            let waiting = self
                .flights
                .values()
                .filter(|f| f.entry.is_some() && f.attempt == 0);
            waiting.filter(|f| f.urgent == urgent).count()
        };
        let bounds = [
            (fresh(true), self.limits.urgent),
            (fresh(false), self.limits.queue),
        ];
        for (count, bound) in bounds.into_iter().filter(|(count, bound)| count > bound) {
            report(Fault::Bound(count as u64, bound as u64));
        }
        for flight in self.flights.values() {
            self.check_phase(flight, found);
        }
    }

    fn check_phase(&self, flight: &Flight, found: &mut Vec<Finding>) {
        let parked = self
            .parked
            .contains(&(!flight.urgent, flight.seq, flight.id()));
        let states = [flight.run.is_some(), flight.entry.is_some(), parked];
        let phases = [Phase::Running, Phase::Waiting, Phase::Parked];
        let sound = states
            .into_iter()
            .zip(phases)
            .all(|(s, p)| s == (flight.phase == p));
        let place = Place::Request(flight.id(), flight.attempt);
        if !sound {
            let count = states.iter().filter(|&&s| s).count() as u64;
            found.push(Finding {
                place,
                fault: Fault::Count(count, 1),
            });
        }
    }

    fn check_teams(&self, found: &mut Vec<Finding>) {
        for (id, row) in self.shares.rows.iter().enumerate() {
            let id = id as TeamId;
            let count = self
                .flights
                .values()
                .filter(|f| f.request.team == id)
                .count() as u64;
            let mut report = |fault| {
                found.push(Finding {
                    place: Place::Team(id),
                    fault,
                })
            };
            if count != u64::from(row.in_flight) {
                report(Fault::Count(u64::from(row.in_flight), count));
            }
            if !row.sound(self.limits.burst) {
                report(Fault::Bound(row.taken, 0));
            }
        }
    }

    fn check_budget(&self, found: &mut Vec<Finding>) {
        let (granted, earned) = (self.budget.granted, (self.budget.earned + ROUNDING) as u64);
        if granted > earned || self.report.retries > granted {
            let fault = Fault::Bound(granted, earned);
            found.push(Finding {
                place: Place::Budget,
                fault,
            });
        }
    }

    /// Finds work that is not urgent and was started just now on endpoints that urgent work
    /// waits for.
    pub(super) fn check_order(&mut self) {
        if self.queue.urgent == 0 {
            return;
        }
        let waits = |f: &&Flight| f.entry.is_some_and(|e| e.rank == Rank::Urgent);
        let mut wanted = BTreeSet::new();
        for flight in self.flights.values().filter(waits) {
            self.hold(queue::line(flight.request.target), &mut wanted);
        }
        let started = self.out.iter().filter_map(|a| match a {
            Action::Start(id, attempt, hops) => Some((*id, *attempt, hops)),
            _ => None,
        });
        let late = started.filter(|(id, _, hops)| {
            let fair = self
                .flights
                .get(id)
                .is_some_and(|f| !f.urgent && f.run.as_ref().is_some_and(|r| !r.alone));
            fair && hops.iter().any(|h| wanted.contains(&h.endpoint))
        });
        let places: Vec<_> = late
            .map(|(id, attempt, _)| Place::Request(id, attempt))
            .collect();
        let found = places.into_iter().map(|place| Finding {
            place,
            fault: Fault::Order,
        });
        self.findings.extend(found);
    }

    /// Urgent requests that wait though endpoints have room for them: none, after a dispatch.
    pub fn overlooked(&self, now: crate::Now) -> Vec<Finding> {
        let Some(view) = &self.view else {
            return Vec::new();
        };
        let waiting = self
            .flights
            .values()
            .filter(|f| f.urgent && f.entry.is_some());
        let fits = |flight: &&Flight| {
            let Target::Model(model, _) = flight.request.target else {
                return false;
            };
            let suspect = self.crash.suspect(flight.request.fingerprint);
            let eyes = Eyes {
                fleet: &self.fleet,
                wires: &self.plan.wires,
                limits: &self.limits,
                now,
                mode: Mode::Urgent,
                avoid: &[],
                held: &BTreeSet::new(),
                yields: &BTreeMap::new(),
            };
            let Some(graph) = self.plan.whole.get(model as usize) else {
                return false;
            };
            let choice = Choice {
                graph,
                wires: &self.plan.wires,
                zone: view.zone,
                load: &eyes,
                draws: 0,
                cached: &[],
            };
            !suspect && choice.search().is_some()
        };
        let places = waiting
            .filter(fits)
            .map(|f| Place::Request(f.id(), f.attempt));
        places
            .map(|place| Finding {
                place,
                fault: Fault::Order,
            })
            .collect()
    }
}
