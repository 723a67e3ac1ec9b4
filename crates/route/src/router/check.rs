//! Check of the invariants: recounts all tables from the jobs alone.

use super::Router;
use super::capacity::{Capacity, Mode};
use crate::action::Action;
use crate::choose::Choice;
use crate::finding::{Fault, Finding, Place};
use crate::job::{Job, Phase};
use crate::queue::{self, Rank};
use crate::request::Target;
use bundle::id::{EndpointId, TeamId};
use std::collections::{BTreeMap, BTreeSet};

impl Router {
    /// Returns all violations: those found while handling events, and those found by a recount of
    /// all tables.
    pub fn verify(&self) -> Vec<Finding> {
        let mut found = self.findings.clone();
        self.check_rows(&mut found);
        self.check_queue(&mut found);
        self.check_teams(&mut found);
        self.check_budget(&mut found);
        found
    }

    fn check_rows(&self, found: &mut Vec<Finding>) {
        let mut by_endpoint: BTreeMap<EndpointId, Vec<&Job>> = BTreeMap::new();
        for job in self.jobs.values() {
            let run = job.run.as_ref();
            for &endpoint in run.iter().flat_map(|r| r.endpoints.iter().flatten()) {
                by_endpoint.entry(endpoint).or_default().push(job);
            }
        }
        for (id, row) in self.fleet.rows.iter().enumerate() {
            let id = id as EndpointId;
            let here = by_endpoint.get(&id).map_or(&[][..], Vec::as_slice);
            let mut report = |fault| {
                found.push(Finding {
                    place: Place::Endpoint(id),
                    fault,
                })
            };
            if here.len() != row.in_flight as usize {
                report(Fault::Count(u64::from(row.in_flight), here.len() as u64));
            }
            let alone = here
                .iter()
                .find(|j| j.run.as_ref().is_some_and(|r| r.isolated));
            if alone.is_some_and(|a| here.iter().any(|j| j.id() != a.id())) {
                report(Fault::Shared(id));
            }
            if row.health.is_ejected() && here.iter().any(|j| j.is_movable()) {
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
        let queued = self
            .jobs
            .values()
            .filter(|j| j.queue_entry.is_some())
            .count();
        let pairs = [
            (self.queue.urgent_count, urgent),
            (self.queue.fair_count, fair),
            (queued, urgent + fair),
            (self.jobs.len(), self.audit.live_count()),
        ];
        for (count, recount) in pairs.into_iter().filter(|(a, b)| a != b) {
            report(Fault::Count(count as u64, recount as u64));
        }
        let unstarted = |urgent| {
            let waiting = self
                .jobs
                .values()
                .filter(|j| j.queue_entry.is_some() && j.attempt == 0);
            waiting.filter(|j| j.urgent == urgent).count()
        };
        let bounds = [
            (unstarted(true), self.settings.max_urgent),
            (unstarted(false), self.settings.max_queued),
        ];
        for (count, bound) in bounds.into_iter().filter(|(count, bound)| count > bound) {
            report(Fault::Bound(count as u64, bound as u64));
        }
        for job in self.jobs.values() {
            self.check_phase(job, found);
        }
    }

    fn check_phase(&self, job: &Job, found: &mut Vec<Finding>) {
        let parked = self.parked.contains(&(!job.urgent, job.seq, job.id()));
        let states = [job.run.is_some(), job.queue_entry.is_some(), parked];
        let phases = [Phase::Running, Phase::Waiting, Phase::Parked];
        let consistent = states
            .into_iter()
            .zip(phases)
            .all(|(s, p)| s == (job.phase == p));
        let place = Place::Request(job.id(), job.attempt);
        if !consistent {
            let count = states.iter().filter(|&&s| s).count() as u64;
            found.push(Finding {
                place,
                fault: Fault::Count(count, 1),
            });
        }
    }

    fn check_teams(&self, found: &mut Vec<Finding>) {
        for (id, row) in self.shares.accounts.iter().enumerate() {
            let id = id as TeamId;
            let count = self.jobs.values().filter(|j| j.request.team == id).count() as u64;
            let mut report = |fault| {
                found.push(Finding {
                    place: Place::Team(id),
                    fault,
                })
            };
            if count != u64::from(row.in_flight) {
                report(Fault::Count(u64::from(row.in_flight), count));
            }
            if !row.is_within_bounds(self.settings.team_burst) {
                report(Fault::Bound(row.admitted, 0));
            }
        }
    }

    fn check_budget(&self, found: &mut Vec<Finding>) {
        let (granted, earned) = (self.budget.granted, self.budget.earned());
        if granted > earned || self.report.retries > granted {
            let fault = Fault::Bound(granted, earned);
            found.push(Finding {
                place: Place::Budget,
                fault,
            });
        }
    }

    /// Records a finding for each request that is not urgent and was just started on endpoints that
    /// urgent work waits for.
    pub(super) fn check_order(&mut self) {
        if self.queue.urgent_count == 0 {
            return;
        }
        let waits = |j: &&Job| j.queue_entry.is_some_and(|e| e.rank == Rank::Urgent);
        let mut wanted = BTreeSet::new();
        for job in self.jobs.values().filter(waits) {
            self.collect_endpoints(queue::line(job.request.target), &mut wanted);
        }
        let started = self.actions.iter().filter_map(|a| match a {
            Action::Start(id, attempt, hops) => Some((*id, *attempt, hops)),
            _ => None,
        });
        let late = started.filter(|(id, _, hops)| {
            let fair = self
                .jobs
                .get(id)
                .is_some_and(|j| !j.urgent && j.run.as_ref().is_some_and(|r| !r.isolated));
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

    /// Returns urgent requests that wait although endpoints have capacity for them. There are none
    /// after a dispatch.
    pub fn missed_urgent(&self, now: crate::Now) -> Vec<Finding> {
        let Some(view) = &self.view else {
            return Vec::new();
        };
        let waiting = self
            .jobs
            .values()
            .filter(|j| j.urgent && j.queue_entry.is_some());
        let fits = |job: &&Job| {
            let Target::Model(model, _) = job.request.target else {
                return false;
            };
            let suspect = self.crash.is_suspect(job.request.fingerprint);
            let capacity = Capacity {
                fleet: &self.fleet,
                links: &self.plan.links,
                settings: &self.settings,
                now,
                mode: Mode::Urgent,
                avoid: &[],
                reserved: &BTreeSet::new(),
                preemptible: &BTreeMap::new(),
            };
            let Some(graph) = self.plan.full.get(model as usize) else {
                return false;
            };
            let choice = Choice {
                graph,
                links: &self.plan.links,
                zone: view.zone,
                load: &capacity,
                draws: 0,
                cached: &[],
            };
            !suspect && choice.search().is_some()
        };
        let places = waiting
            .filter(fits)
            .map(|j| Place::Request(j.id(), j.attempt));
        places
            .map(|place| Finding {
                place,
                fault: Fault::Order,
            })
            .collect()
    }
}
