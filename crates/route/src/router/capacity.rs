//! Free capacity of endpoints and links for one kind of work.

use crate::Now;
use crate::choose::Load;
use crate::fleet::Fleet;
use crate::request::Id;
use crate::settings::Settings;
use bundle::id::EndpointId;
use std::collections::{BTreeMap, BTreeSet};

/// Kind of work that needs endpoints.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    /// Ordinary work; excludes endpoints that urgent work waits for.
    Fair,
    /// Ordinary work whose prefix is not cached yet; only endpoints with ample free capacity.
    Spare,
    /// Urgent work; within the concurrency limits, regardless of other routers' load.
    Urgent,
    /// Urgent work that may pause preemptible attempts.
    Preempt,
    /// A suspect; idle endpoints only.
    Isolated(Id),
    /// Endpoints to be drained for a suspect.
    Drain,
}

/// Capacity of the fleet for one kind of work.
pub struct Capacity<'a> {
    /// Endpoints and the use of links.
    pub fleet: &'a Fleet,
    /// Capacities of links, by pair of zones.
    pub links: &'a crate::plan::Links,
    /// Settings of the router.
    pub settings: &'a Settings,
    /// Current time.
    pub now: Now,
    /// Kind of work.
    pub mode: Mode,
    /// Endpoints on which the request failed.
    pub avoid: &'a [EndpointId],
    /// Endpoints that urgent work waits for.
    pub reserved: &'a BTreeSet<EndpointId>,
    /// Number of attempts that urgent work may pause, by endpoint.
    pub preemptible: &'a BTreeMap<EndpointId, u32>,
}

/// Fraction of its slots below which an endpoint has ample free capacity.
const SPARE_SLOT_FRACTION: f64 = 0.2;
/// Number of this router's streams from which on an endpoint does not have ample free capacity. It
/// is low because requests that other routers have just sent are not reported yet.
const MAX_SPARE_STREAMS: u32 = 2;
/// Maximum number of streams on a link, as a multiple of the number that saturates it at the target
/// time per token.
const LINK_HEADROOM: f64 = 2.0;

impl Load for Capacity<'_> {
    fn endpoint(&self, endpoint: EndpointId) -> Option<f64> {
        let row = self.fleet.get(endpoint)?;
        if !row.accepts_work(self.now) || self.avoid.contains(&endpoint) {
            return None;
        }
        let others = row.estimated_remote_load(self.now, self.settings.report_half_life);
        let total = f64::from(row.in_flight) + others;
        let free = match self.mode {
            Mode::Isolated(id) => {
                row.in_flight == 0 && row.reserved_for.is_none_or(|suspect| suspect == id)
            }
            Mode::Drain => row.reserved_for.is_none(),
            _ if row.reserved_for.is_some() => false,
            Mode::Urgent => row.in_flight < row.limit(),
            Mode::Preempt => {
                let preemptible = self.preemptible.get(&endpoint).copied().unwrap_or(0);
                row.in_flight.saturating_sub(preemptible) < row.limit()
            }
            Mode::Fair | Mode::Spare => {
                let reserved = self.reserved.contains(&endpoint);
                let fraction = if self.mode == Mode::Spare {
                    SPARE_SLOT_FRACTION
                } else {
                    1.0
                };
                let under_own_limit = self.mode == Mode::Fair || row.in_flight < MAX_SPARE_STREAMS;
                !reserved
                    && under_own_limit
                    && row.in_flight < row.limit()
                    && total < f64::from(row.slots) * fraction
            }
        };
        free.then(|| (total + 1.0) * row.slowdown(self.now))
    }

    fn link(&self, pair: usize) -> Option<f64> {
        let streams = f64::from(self.fleet.crossings.get(pair).copied().unwrap_or(0));
        let max_streams =
            self.links.rate_at(pair) * self.settings.target_token_gap.as_secs_f64() * LINK_HEADROOM;
        let free = !matches!(self.mode, Mode::Fair | Mode::Spare) || streams < max_streams.max(1.0);
        free.then_some(streams)
    }
}
