//! Admission: checks the queue and the deadline, then the limits of the team.

use super::Router;
use super::select::salt_prefix;
use crate::Now;
use crate::job::{Job, Phase};
use crate::queue::{self, Entry, Rank};
use crate::refusal::{Reason, Refusal};
use crate::request::{Id, Request, Target};
use std::time::Duration;

/// Retry-after delay while nothing serves a request.
const NO_ENDPOINT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Minimum and maximum retry-after delay of an overloaded router.
const OVERLOAD_RETRY_AFTER: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_secs(30));

impl Router {
    pub(super) fn arrive(&mut self, now: Now, request: Request) {
        if self.jobs.contains_key(&request.id) {
            return;
        }
        self.report.arrived += 1;
        let id = request.id;
        match self.admit(now, &request) {
            Err(refusal) => self.refuse(id, refusal),
            Ok(()) => self.track(now, request),
        }
    }

    fn track(&mut self, now: Now, request: Request) {
        let id = request.id;
        let urgent = self.is_urgent(&request);
        self.seq += 1;
        self.deadlines.insert((request.deadline, id));
        let pending = self.crash.is_pending(request.fingerprint);
        if let Target::Model(model, adapter) = request.target {
            self.locality
                .record(&salt_prefix(&request.prefix, model, adapter));
        }
        self.jobs
            .insert(id, Job::new(request, self.seq, now, urgent));
        if pending {
            return self.park(now, id);
        }
        self.enqueue(now, id);
    }

    /// Decides whether to admit a request; charges its team's account if so.
    fn admit(&mut self, now: Now, request: &Request) -> Result<(), Refusal> {
        let refuse = |reason, retry_after| {
            Err(Refusal {
                reason,
                retry_after,
            })
        };
        let Some(view) = self.view.clone() else {
            return refuse(Reason::NoEndpoint, Some(NO_ENDPOINT_RETRY_AFTER));
        };
        if view.leaving {
            return refuse(Reason::Leaving, Some(Duration::ZERO));
        }
        if self.crash.is_condemned(request.fingerprint) {
            return refuse(Reason::Condemned, None);
        }
        if request.deadline <= now {
            return refuse(Reason::Deadline, None);
        }
        if !self.is_served(request.target) {
            return refuse(Reason::NoEndpoint, Some(NO_ENDPOINT_RETRY_AFTER));
        }
        let urgent = self.is_urgent(request);
        if let Some(refusal) = self.check_overload(now, request, urgent) {
            return Err(refusal);
        }
        let admitted = self
            .shares
            .admit(now, request.team, urgent, self.settings.team_burst);
        admitted.or_else(|wait| refuse(Reason::Limit, Some(wait)))
    }

    /// Returns whether a chain exists, even if it is full, or would exist once ejected endpoints
    /// return.
    pub(super) fn is_served(&self, target: Target) -> bool {
        match target {
            Target::Model(model, _) => {
                let planned = self
                    .plan
                    .full
                    .get(model as usize)
                    .is_some_and(|g| g.max_flow > 0.0);
                planned || self.recoverable.models.contains(&model)
            }
            Target::Service(service) => {
                let planned = self
                    .plan
                    .services
                    .get(service as usize)
                    .is_some_and(|s| !s.is_empty());
                planned || self.recoverable.services.contains(&service)
            }
        }
    }

    pub(super) fn is_urgent(&self, request: &Request) -> bool {
        let view = self.view.as_ref();
        let row = view.and_then(|v| v.bundle.priorities.get(request.priority as usize));
        row.is_some_and(|p| p.urgent)
    }

    /// Returns a refusal if the queue is full or the deadline can't be met. An urgent request is
    /// refused only if the queue of urgent ones is full: a late alarm is better than none.
    fn check_overload(&self, now: Now, request: &Request, urgent: bool) -> Option<Refusal> {
        let line = queue::line(request.target);
        let ahead = self.expected_ahead(request);
        let meter = self.meters.get(&line).copied().unwrap_or_default();
        let wait = meter.expected_wait(ahead);
        let full = if urgent {
            self.queue.urgent_count >= self.settings.max_urgent
        } else {
            self.queue.fair_count >= self.settings.max_queued
        };
        let expected_end = now
            .saturating_add(wait)
            .saturating_add(meter.service_time(request.max_tokens));
        let misses_deadline = !urgent && expected_end > request.deadline;
        (full || misses_deadline).then(|| Refusal {
            reason: Reason::Overload,
            retry_after: Some(wait.clamp(OVERLOAD_RETRY_AFTER.0, OVERLOAD_RETRY_AFTER.1)),
        })
    }

    fn expected_ahead(&self, request: &Request) -> f64 {
        let Some(line) = self.queue.line(queue::line(request.target)) else {
            return 0.0;
        };
        let (priority_weight, team_weight) = self.weights(request);
        line.expected_ahead(request.priority, request.team, team_weight, priority_weight)
    }

    fn weights(&self, request: &Request) -> (u32, u32) {
        let Some(view) = &self.view else {
            return (1, 1);
        };
        let priority_weight = view
            .bundle
            .priorities
            .get(request.priority as usize)
            .map_or(1, |p| p.weight);
        let team_weight = view
            .bundle
            .teams
            .get(request.team as usize)
            .map_or(1, |t| t.weight);
        (priority_weight, team_weight)
    }

    /// Adds a request to its line.
    pub(super) fn enqueue(&mut self, now: Now, id: Id) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if job.request.deadline <= now || job.not_resumable {
            return self.terminate(now, id, Reason::Deadline, None);
        }
        if self.crash.is_condemned(job.request.fingerprint) {
            return self.terminate(now, id, Reason::Condemned, None);
        }
        let entry = self.queue_entry(job);
        self.queue.push(&entry);
        let job = self.jobs.get_mut(&id);
        job.into_iter().for_each(|j| {
            j.phase = Phase::Waiting;
            j.queue_entry = Some(entry);
        });
        self.dispatch_needed = true;
    }

    /// Returns the queue entry of a request under the current bundle and suspects.
    pub(super) fn queue_entry(&self, job: &Job) -> Entry {
        let (priority_weight, team_weight) = self.weights(&job.request);
        let rank = match (self.crash.is_suspect(job.request.fingerprint), job.urgent) {
            (true, urgent) => Rank::Suspect(urgent),
            (false, true) => Rank::Urgent,
            (false, false) => Rank::Fair,
        };
        Entry {
            id: job.id(),
            seq: job.seq,
            line: queue::line(job.request.target),
            priority: job.request.priority,
            team: job.request.team,
            rank,
            priority_weight,
            team_weight,
        }
    }

    /// Moves waiting requests to other ranks after the suspects changed.
    pub(super) fn rerank(&mut self) {
        let entries: Vec<_> = self
            .jobs
            .values()
            .filter_map(|j| Some((j.queue_entry?, self.queue_entry(j))))
            .filter(|(old, new)| old != new)
            .collect();
        for (old, new) in entries {
            self.queue.remove(&old);
            self.queue.push(&new);
            self.jobs
                .get_mut(&new.id)
                .into_iter()
                .for_each(|j| j.queue_entry = Some(new));
            self.release_reservation(new.id);
            self.dispatch_needed = true;
        }
    }
}
