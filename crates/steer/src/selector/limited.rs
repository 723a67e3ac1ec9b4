//! Endpoints that limit the requests that they take.

use super::Selector;
use crate::Timestamp;
use crate::limit::{Limit, Nodes};
use crate::row::Row;
use crate::target::ReservationId;
use catalog::endpoint::Run;
use std::collections::HashMap;
use std::time::Duration;

/// Time for which the limit of an endpoint is kept that the fleet does not list.
const RETENTION: Duration = Duration::from_secs(600);

impl Selector {
    /// Keeps the limits of rows that the fleet no longer lists; it may list them again.
    pub(super) fn keep_limits(&mut self, now: Timestamp, removed: &HashMap<Run, Row>) {
        let limits = removed.iter();
        let limits = limits.filter_map(|(run, row)| Some((run.clone(), row.limit?)));
        self.unlisted_limits.extend(limits);
        self.unlisted_limits
            .retain(|_, limit| now < limit.named_at().saturating_add(RETENTION));
    }

    /// Records that an endpoint allows one request of all nodes together in each `interval` on average.
    /// Returns whether that is news.
    pub fn record_limit(&mut self, now: Timestamp, run: &Run, interval: Duration) -> bool {
        let fleet = &self.fleet;
        let nodes = Nodes {
            known: &fleet.members,
            me: fleet.me,
            count: fleet
                .nodes
                .max(fleet.selecting_nodes)
                .max(fleet.budget_nodes),
        };
        let earlier = match self.index.get(run) {
            Some(&at) => self.rows[at].limit,
            None => self.unlisted_limits.get(run).copied(),
        };
        let limit = Limit::new(now, run, interval, nodes, earlier);
        match self.index.get(run) {
            Some(&at) => self.rows[at].limit = Some(limit),
            None => {
                self.unlisted_limits.insert(run.clone(), limit);
            }
        }
        earlier.is_none_or(|earlier| earlier.interval != interval)
    }

    /// Records that the head of an attempt responded without naming a limit. Returns whether that ends
    /// one.
    pub fn record_no_limit(&mut self, id: ReservationId) -> bool {
        let reservation = self.reservations.get(&id);
        let head = reservation.and_then(|r| Some((r.began, r.shares.first()?)));
        let Some((began, head)) = head else {
            return false;
        };
        let Some(&at) = self.index.get(&head.run) else {
            return false;
        };
        let ended = self.rows[at].limit.take_if(|l| l.is_ended_by(began));
        ended.is_some()
    }
}
