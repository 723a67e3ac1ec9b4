//! Endpoints that limit the requests that they take.

use super::Selector;
use crate::Timestamp;
use crate::limit::Limit;
use crate::target::ReservationId;
use catalog::endpoint::Run;
use std::time::Duration;

impl Selector {
    /// Records that an endpoint allows one request of all nodes together in each `interval` on average.
    /// Returns whether that is news.
    pub fn record_limit(&mut self, now: Timestamp, run: &Run, interval: Duration) -> bool {
        let Some(&at) = self.index.get(run) else {
            return false;
        };
        let limit = &mut self.rows[at].limit;
        let news = limit.is_none_or(|known| known.interval != interval);
        *limit = Some(Limit::new(now, interval));
        news
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
