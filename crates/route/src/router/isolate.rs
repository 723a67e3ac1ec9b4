//! Isolation of suspects: each runs alone on its endpoints.
//!
//! Without isolation, a request that crashes endpoints interrupts other requests with each retry,
//! and these can't be distinguished from it. A suspect takes idle endpoints if there are any.
//! Otherwise one chain at a time is reserved and gets no new work until it is idle. After a
//! timeout, movable work is moved away from it.

use super::Router;
use super::capacity::Mode;
use crate::Now;
use crate::request::{Id, Target};
use bundle::id::EndpointId;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of suspects examined in one dispatch of a line.
const MAX_SUSPECTS_PER_DISPATCH: usize = 8;

/// Endpoints reserved for a waiting suspect; they get no new work.
#[derive(Clone, Debug)]
pub(super) struct Reservation {
    pub suspect: Id,
    pub endpoints: Vec<EndpointId>,
    pub since: Now,
}

impl Router {
    pub(super) fn dispatch_suspects(&mut self, now: Now, line: Target) {
        let Some(waiting) = self.queue.line(line) else {
            return;
        };
        let ids: Vec<Id> = waiting.suspects().take(MAX_SUSPECTS_PER_DISPATCH).collect();
        let none = BTreeSet::new();
        for id in ids {
            if self.launch(now, id, Mode::Isolated(id), &none) {
                continue;
            }
            if !self.reservations.contains_key(&line) {
                self.reserve_chain(now, line, id);
            }
        }
        self.drain_reserved(now, line);
    }

    /// Reserves a chain for a suspect.
    fn reserve_chain(&mut self, now: Now, line: Target, suspect: Id) {
        let none = BTreeSet::new();
        let Some(hops) = self.select_chain(now, suspect, Mode::Drain, &none, &BTreeMap::new())
        else {
            return;
        };
        let endpoints: Vec<_> = hops.iter().map(|h| h.endpoint).collect();
        self.has_reservations = true;
        for &endpoint in &endpoints {
            self.fleet
                .get_mut(endpoint)
                .into_iter()
                .for_each(|r| r.reserved_for = Some(suspect));
        }
        self.reservations.insert(
            line,
            Reservation {
                suspect,
                endpoints,
                since: now,
            },
        );
    }

    /// Moves movable work away from reserved endpoints that did not become idle in time.
    fn drain_reserved(&mut self, now: Now, line: Target) {
        let Some(reservation) = self.reservations.get(&line) else {
            return;
        };
        if now < reservation.since + self.settings.isolation_timeout {
            return;
        }
        let endpoints = reservation.endpoints.clone();
        let affected = |j: &&crate::job::Job| endpoints.iter().any(|&e| j.runs_on(e));
        let movable = self
            .jobs
            .values()
            .filter(|j| j.is_movable())
            .filter(affected);
        let ids: Vec<Id> = movable.map(|j| j.id()).collect();
        for id in ids {
            self.pause(now, id);
            self.report.moved += 1;
        }
    }

    /// Releases the endpoints reserved for a suspect.
    pub(super) fn release_reservation(&mut self, suspect: Id) {
        if !self.has_reservations {
            return;
        }
        let rows = self
            .fleet
            .rows
            .iter_mut()
            .filter(|r| r.reserved_for == Some(suspect));
        let mut released = false;
        rows.for_each(|r| {
            r.reserved_for = None;
            released = true;
        });
        self.reservations.retain(|_, r| r.suspect != suspect);
        self.has_reservations = self.fleet.rows.iter().any(|r| r.reserved_for.is_some());
        self.dispatch_needed |= released;
    }

    /// Releases the endpoints reserved for a waiting suspect of a line because urgent work waits
    /// too; returns whether any were released. An urgent suspect keeps its reservation.
    pub(super) fn release_line_reservation(&mut self, now: Now, line: Target) -> bool {
        let Some(reservation) = self.reservations.get(&line) else {
            return false;
        };
        let suspect = reservation.suspect;
        if self
            .jobs
            .get(&suspect)
            .is_some_and(|j| j.urgent && j.request.deadline > now)
        {
            return false;
        }
        self.release_reservation(suspect);
        true
    }
}
