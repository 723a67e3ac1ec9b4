//! Endpoints that rest.

use super::Selector;
use crate::rest::Rest;
use crate::row::Row;
use crate::search::Segment;
use crate::shortage::Shortage;
use crate::target::{ReservationId, Target};
use crate::{Result, Timestamp};
use catalog::endpoint::Run;
use std::collections::HashMap;
use std::time::Duration;

impl Selector {
    /// Keeps the rests of rows that the fleet no longer lists; it may list them again.
    pub(super) fn keep_rests(&mut self, now: Timestamp, removed: HashMap<Run, Row>) {
        let rests = removed.into_iter();
        let rests = rests.filter_map(|(run, row)| Some((run, row.rest?)));
        self.unlisted_rests.extend(rests);
        self.unlisted_rests.retain(|_, rest| now < rest.until());
    }

    /// Records that a request is sent to the endpoints of a chain.
    pub(super) fn record_requests(&mut self, now: Timestamp, segments: &[Segment]) {
        for segment in segments {
            self.rows[segment.row].record_request(now);
        }
    }

    /// Records that an endpoint refused a request and asks to be left alone for `length`.
    pub fn record_rest(&mut self, now: Timestamp, run: &Run, length: Duration) {
        let rest = Rest::new(now, length);
        match self.index.get(run) {
            Some(&at) => {
                let row = &mut self.rows[at];
                row.rest = Some(row.rest.map_or(rest, |earlier| earlier.later(rest)));
            }
            None => {
                let known = self.unlisted_rests.entry(run.clone()).or_insert(rest);
                *known = known.later(rest);
            }
        }
    }

    /// Records that the endpoints of an attempt accepted its request. It ends the pacing after a
    /// rest, and has no effect on a rest that had not ended when the attempt began.
    pub fn record_accepted(&mut self, id: ReservationId) {
        let Some(reservation) = self.reservations.get(&id) else {
            return;
        };
        for share in &reservation.shares {
            let Some(&at) = self.index.get(&share.run) else {
                continue;
            };
            let rest = &mut self.rows[at].rest;
            *rest = rest.filter(|rest| reservation.began < rest.until());
        }
    }

    /// Returns whether a stage of a target rests. Its endpoint may have asked for it after the
    /// target was selected.
    pub fn rests(&self, now: Timestamp, target: &Target) -> bool {
        let rows = target.stages.iter().filter_map(|s| self.index.get(&s.run));
        let mut rests = rows.filter_map(|&at| self.rows[at].rest);
        rests.any(|rest| now < rest.until())
    }

    /// Returns the shortage of a request that found no target among the available endpoints. It is
    /// [`Shortage::Rest`] if `find` finds a target once those that rest are added.
    ///
    /// `find` gets the indexes of rows, and a time at which all of them are available.
    pub(super) fn attribute(
        &self,
        now: Timestamp,
        shortage: Shortage,
        service: &str,
        tried: &[Run],
        find: impl Fn(&[usize], Timestamp) -> Result<()>,
    ) -> Shortage {
        // An endpoint in use may have free capacity before a rest ends.
        if shortage == Shortage::Capacity {
            return shortage;
        }
        let untried = |row: &Row| {
            let endpoint = &row.endpoint;
            endpoint.service == service && !tried.contains(&endpoint.run)
        };
        let or_resting =
            self.rows_where(|r| untried(r) && (r.is_available(now) || r.is_resting(now)));
        let latest = or_resting
            .iter()
            .filter_map(|&at| self.rows[at].available_from());
        let latest = latest.fold(now, Timestamp::max);
        if latest == now || find(&or_resting, latest).is_err() {
            return shortage;
        }
        let later = self.rows.iter().filter(|r| untried(r));
        let later = later.filter_map(|r| r.available_from().filter(|&from| from > now));
        let mut times: Vec<Timestamp> = later.collect();
        times.sort_unstable();
        // The later, the more endpoints are available.
        let first = times.partition_point(|&at| {
            let rows = self.rows_where(|r| untried(r) && r.is_available(at));
            find(&rows, at).is_err()
        });
        times
            .get(first)
            .map_or(shortage, |&until| Shortage::Rest { until })
    }
}
