//! Isolation of suspects: each runs alone on its endpoints.
//!
//! Without it, a request that crashes endpoints takes its neighbours down again with each try,
//! and they can't be told from it. A suspect takes idle endpoints where there are some; else one
//! chain at a time is kept from new work until it is empty, and after a while work that can be
//! repeated is moved away.

use super::Router;
use super::eyes::Mode;
use crate::Now;
use crate::request::{Id, Target};
use bundle::id::EndpointId;
use std::collections::{BTreeMap, BTreeSet};

/// Suspects looked at in one dispatch of a line.
const LOOKS: usize = 8;

/// Endpoints kept from new work for a suspect that waits.
#[derive(Clone, Debug)]
pub(super) struct Ward {
    pub suspect: Id,
    pub endpoints: Vec<EndpointId>,
    pub since: Now,
}

impl Router {
    pub(super) fn dispatch_suspects(&mut self, now: Now, line: Target) {
        let Some(waiting) = self.queue.line(line) else {
            return;
        };
        let ids: Vec<Id> = waiting.suspects().take(LOOKS).collect();
        let none = BTreeSet::new();
        for id in ids {
            if self.launch(now, id, Mode::Alone(id), &none) {
                continue;
            }
            if !self.wards.contains_key(&line) {
                self.ward(now, line, id);
            }
        }
        self.empty(now, line);
    }

    /// Keeps a chain for a suspect.
    fn ward(&mut self, now: Now, line: Target, suspect: Id) {
        let none = BTreeSet::new();
        let Some(hops) = self.pick(now, suspect, Mode::Drain, &none, &BTreeMap::new()) else {
            return;
        };
        let endpoints: Vec<_> = hops.iter().map(|h| h.endpoint).collect();
        self.guarded = true;
        for &endpoint in &endpoints {
            self.fleet
                .get_mut(endpoint)
                .into_iter()
                .for_each(|r| r.ward = Some(suspect));
        }
        self.wards.insert(
            line,
            Ward {
                suspect,
                endpoints,
                since: now,
            },
        );
    }

    /// Moves repeatable work away from a ward that did not become empty in time.
    fn empty(&mut self, now: Now, line: Target) {
        let Some(ward) = self.wards.get(&line) else {
            return;
        };
        if now < ward.since + self.limits.patience {
            return;
        }
        let endpoints = ward.endpoints.clone();
        let on = |f: &&crate::flight::Flight| endpoints.iter().any(|&e| f.on(e));
        let movable = self
            .flights
            .values()
            .filter(|f| f.request.repeatable)
            .filter(on);
        let ids: Vec<Id> = movable.map(|f| f.id()).collect();
        for id in ids {
            self.pause(now, id);
            self.report.moved += 1;
        }
    }

    /// Frees what is kept for a suspect.
    pub(super) fn unward(&mut self, suspect: Id) {
        if !self.guarded {
            return;
        }
        let rows = self
            .fleet
            .rows
            .iter_mut()
            .filter(|r| r.ward == Some(suspect));
        let mut freed = false;
        rows.for_each(|r| {
            r.ward = None;
            freed = true;
        });
        self.wards.retain(|_, w| w.suspect != suspect);
        self.guarded = self.fleet.rows.iter().any(|r| r.ward.is_some());
        self.stirred |= freed;
    }

    /// Frees what is kept in a line for a suspect that waits, since urgent work waits too;
    /// whether anything was freed. An urgent suspect keeps its ward.
    pub(super) fn unward_line(&mut self, now: Now, line: Target) -> bool {
        let Some(ward) = self.wards.get(&line) else {
            return false;
        };
        let suspect = ward.suspect;
        if self
            .flights
            .get(&suspect)
            .is_some_and(|f| f.urgent && f.request.deadline > now)
        {
            return false;
        }
        self.unward(suspect);
        true
    }
}
