//! Capacity that attempts reserve at endpoints.

use super::{Reservation, Selector, Share};
use crate::Timestamp;
use crate::search::Segment;
use crate::target::{Stage, Target};

impl Selector {
    pub(super) fn reserve(&mut self, now: Timestamp, segments: &[Segment], tokens: f64) -> Target {
        let reservation = self.next_reservation;
        self.next_reservation += 1;
        // The next request draws other factors than this one.
        self.rng.set_stream(self.next_reservation);
        let (shares, stages) = self.reserve_segments(segments, tokens);
        self.record_requests(now, segments);
        let held = Reservation {
            began: now,
            shares,
            overtakes: false,
        };
        self.reservations.insert(reservation, held);
        Target {
            reservation,
            stages,
        }
    }

    /// Reserves capacity at the endpoints of a chain.
    pub(super) fn reserve_segments(
        &mut self,
        segments: &[Segment],
        tokens: f64,
    ) -> (Vec<Share>, Vec<Stage>) {
        let reserve = |segment: &Segment| {
            let row = &mut self.rows[segment.row];
            let capacity = tokens * f64::from(segment.span.len());
            row.in_flight += 1;
            row.reserved += capacity;
            let share = Share {
                run: row.endpoint.run.clone(),
                addr: row.endpoint.addr,
                reserved: capacity,
            };
            let stage = Stage {
                run: row.endpoint.run.clone(),
                addr: row.endpoint.addr,
                span: segment.span,
            };
            (share, stage)
        };
        segments.iter().map(reserve).unzip()
    }

    /// Releases reserved capacity.
    pub(super) fn release(&mut self, share: &Share) {
        let Some(&at) = self.index.get(&share.run) else {
            return;
        };
        let row = &mut self.rows[at];
        row.in_flight = row.in_flight.saturating_sub(1);
        row.reserved = match row.in_flight {
            0 => 0.0,
            _ => (row.reserved - share.reserved).max(0.0),
        };
    }
}
