//! Admission: limits first, then whether the deadline can be met.

use super::Router;
use super::pick::keyed;
use crate::Now;
use crate::flight::{Flight, Phase};
use crate::queue::{self, Entry, Rank};
use crate::refusal::{Reason, Refusal};
use crate::request::{Id, Request, Target};
use std::time::Duration;

/// When to come back while nothing serves a request.
const OUTAGE: Duration = Duration::from_secs(1);
/// Bounds of the time that an overloaded router asks to wait.
const RETRY: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(30));

impl Router {
    pub(super) fn arrive(&mut self, now: Now, request: Request) {
        if self.flights.contains_key(&request.id) {
            return;
        }
        self.report.arrived += 1;
        let id = request.id;
        match self.admit(now, &request) {
            Err(refusal) => self.refuse(id, refusal),
            Ok(()) => self.enter(now, request),
        }
    }

    fn enter(&mut self, now: Now, request: Request) {
        let id = request.id;
        let urgent = self.urgent(&request);
        self.seq += 1;
        self.deadlines.insert((request.deadline, id));
        let pending = self.crash.pending(request.fingerprint);
        if let Target::Model(model, adapter) = request.target {
            self.locality.note(&keyed(&request.prefix, model, adapter));
        }
        self.flights
            .insert(id, Flight::new(request, self.seq, now, urgent));
        if pending {
            return self.park(now, id);
        }
        self.enqueue(now, id);
    }

    /// Whether a request is taken in; its team's account is charged if so.
    fn admit(&mut self, now: Now, request: &Request) -> Result<(), Refusal> {
        let refuse = |reason, retry_after| {
            Err(Refusal {
                reason,
                retry_after,
            })
        };
        let Some(view) = self.view.clone() else {
            return refuse(Reason::NoEndpoint, Some(OUTAGE));
        };
        if view.leaving {
            return refuse(Reason::Leaving, Some(Duration::ZERO));
        }
        if self.crash.condemned(request.fingerprint) {
            return refuse(Reason::Condemned, None);
        }
        if request.deadline <= now {
            return refuse(Reason::Deadline, None);
        }
        if !self.served(request.target) {
            return refuse(Reason::NoEndpoint, Some(OUTAGE));
        }
        let urgent = self.urgent(request);
        if let Some(refusal) = self.crowded(now, request, urgent) {
            return Err(refusal);
        }
        let taken = self
            .shares
            .take(now, request.team, urgent, self.limits.burst);
        taken.or_else(|wait| refuse(Reason::Limit, Some(wait)))
    }

    /// Whether a chain exists, be it full, or comes back after an ejection.
    pub(super) fn served(&self, target: Target) -> bool {
        match target {
            Target::Model(model, _) => {
                let planned = self
                    .plan
                    .whole
                    .get(model as usize)
                    .is_some_and(|g| g.bound > 0.0);
                planned || self.hoped.models.contains(&model)
            }
            Target::Service(service) => {
                let planned = self
                    .plan
                    .services
                    .get(service as usize)
                    .is_some_and(|s| !s.is_empty());
                planned || self.hoped.services.contains(&service)
            }
        }
    }

    pub(super) fn urgent(&self, request: &Request) -> bool {
        let view = self.view.as_ref();
        let row = view.and_then(|v| v.bundle.priorities.get(request.priority as usize));
        row.is_some_and(|p| p.urgent)
    }

    /// A refusal if the queue is full or the deadline out of reach. An urgent request is only
    /// refused by a full queue of urgent ones: a late alarm is worth more than none.
    fn crowded(&self, now: Now, request: &Request, urgent: bool) -> Option<Refusal> {
        let line = queue::line(request.target);
        let ahead = self.ahead(request);
        let meter = self.meters.get(&line).copied().unwrap_or_default();
        let wait = meter.wait(ahead);
        let full = if urgent {
            self.queue.urgent >= self.limits.urgent
        } else {
            self.queue.fair >= self.limits.queue
        };
        let late = now
            .saturating_add(wait)
            .saturating_add(meter.service(request.most));
        let late = !urgent && late > request.deadline;
        (full || late).then(|| Refusal {
            reason: Reason::Overload,
            retry_after: Some(wait.clamp(RETRY.0, RETRY.1)),
        })
    }

    fn ahead(&self, request: &Request) -> f64 {
        let Some(line) = self.queue.line(queue::line(request.target)) else {
            return 0.0;
        };
        let (class, weight) = self.weights(request);
        line.ahead(request.priority, request.team, weight, class)
    }

    fn weights(&self, request: &Request) -> (u32, u32) {
        let Some(view) = &self.view else {
            return (1, 1);
        };
        let class = view
            .bundle
            .priorities
            .get(request.priority as usize)
            .map_or(1, |p| p.weight);
        let weight = view
            .bundle
            .teams
            .get(request.team as usize)
            .map_or(1, |t| t.weight);
        (class, weight)
    }

    /// Puts a request into its line.
    pub(super) fn enqueue(&mut self, now: Now, id: Id) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        if flight.request.deadline <= now || flight.stranded {
            return self.give_up(now, id, Reason::Deadline, None);
        }
        if self.crash.condemned(flight.request.fingerprint) {
            return self.give_up(now, id, Reason::Condemned, None);
        }
        let entry = self.entry(flight);
        self.queue.push(&entry);
        let flight = self.flights.get_mut(&id);
        flight.into_iter().for_each(|f| {
            f.phase = Phase::Waiting;
            f.entry = Some(entry);
        });
        self.stirred = true;
    }

    /// How a request waits by what is known now.
    pub(super) fn entry(&self, flight: &Flight) -> Entry {
        let (class, weight) = self.weights(&flight.request);
        let rank = match (
            self.crash.suspect(flight.request.fingerprint),
            flight.urgent,
        ) {
            (true, urgent) => Rank::Suspect(urgent),
            (false, true) => Rank::Urgent,
            (false, false) => Rank::Fair,
        };
        Entry {
            id: flight.id(),
            seq: flight.seq,
            line: queue::line(flight.request.target),
            priority: flight.request.priority,
            team: flight.request.team,
            rank,
            class,
            weight,
        }
    }

    /// Puts requests that wait into other ranks after suspects changed.
    pub(super) fn rerank(&mut self) {
        let entries: Vec<_> = self
            .flights
            .values()
            .filter_map(|f| Some((f.entry?, self.entry(f))))
            .filter(|(old, new)| old != new)
            .collect();
        for (old, new) in entries {
            self.queue.remove(&old);
            self.queue.push(&new);
            self.flights
                .get_mut(&new.id)
                .into_iter()
                .for_each(|f| f.entry = Some(new));
            self.unward(new.id);
            self.stirred = true;
        }
    }
}
