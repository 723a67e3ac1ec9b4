//! How the router sees endpoints and links when it chooses, by the kind of work.

use crate::Now;
use crate::choose::Load;
use crate::fleet::Fleet;
use crate::request::Id;
use crate::settings::Settings;
use bundle::id::EndpointId;
use std::collections::{BTreeMap, BTreeSet};

/// Kind of work that looks for a place.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    /// Fair work: leaves alone what urgent work waits for.
    Fair,
    /// Fair work where its prefix is not cached yet: endpoints with much room.
    Spare,
    /// Urgent work: within the concurrency limits, whatever others run.
    Urgent,
    /// Urgent work that may pause what yields.
    Preempt,
    /// A suspect: idle endpoints only.
    Isolated(Id),
    /// Endpoints to be emptied for a suspect.
    Drain,
}

/// A look at the fleet.
pub struct Capacity<'a> {
    /// Endpoints and links.
    pub fleet: &'a Fleet,
    /// Capacities of links, by pair.
    pub links: &'a crate::plan::Links,
    /// Limits.
    pub limits: &'a Settings,
    /// Time.
    pub now: Now,
    /// Kind of work.
    pub mode: Mode,
    /// Endpoints that failed this request.
    pub avoid: &'a [EndpointId],
    /// Endpoints that urgent work waits for.
    pub reserved: &'a BTreeSet<EndpointId>,
    /// By endpoint: work that yields to urgent work.
    pub preemptible: &'a BTreeMap<EndpointId, u32>,
}

/// Part of its slots below which an endpoint has much room.
const SPARE_SLOT_FRACTION: f64 = 0.2;
/// Own streams from which on an endpoint has not much room: what other routers have just sent there
/// is not reported yet.
const MAX_SPARE_STREAMS: u32 = 2;
/// Streams a link may carry, as a multiple of those that fill it at the aimed time per token.
const LINK_HEADROOM: f64 = 2.0;

impl Load for Capacity<'_> {
    fn endpoint(&self, endpoint: EndpointId) -> Option<f64> {
        let row = self.fleet.get(endpoint)?;
        if !row.accepts_work(self.now) || self.avoid.contains(&endpoint) {
            return None;
        }
        let others = row.estimated_remote_load(self.now, self.limits.report_half_life);
        let all = f64::from(row.in_flight) + others;
        let free = match self.mode {
            Mode::Isolated(id) => row.in_flight == 0 && row.reserved_for.is_none_or(|w| w == id),
            Mode::Drain => row.reserved_for.is_none(),
            _ if row.reserved_for.is_some() => false,
            Mode::Urgent => row.in_flight < row.limit(),
            Mode::Preempt => {
                let yields = self.preemptible.get(&endpoint).copied().unwrap_or(0);
                row.in_flight.saturating_sub(yields) < row.limit()
            }
            Mode::Fair | Mode::Spare => {
                let held = self.reserved.contains(&endpoint);
                let room = if self.mode == Mode::Spare {
                    SPARE_SLOT_FRACTION
                } else {
                    1.0
                };
                let few = self.mode == Mode::Fair || row.in_flight < MAX_SPARE_STREAMS;
                !held && few && row.in_flight < row.limit() && all < f64::from(row.slots) * room
            }
        };
        free.then(|| (all + 1.0) * row.slowdown(self.now))
    }

    fn link(&self, pair: usize) -> Option<f64> {
        let streams = f64::from(self.fleet.crossings.get(pair).copied().unwrap_or(0));
        let most =
            self.links.rate_at(pair) * self.limits.target_token_gap.as_secs_f64() * LINK_HEADROOM;
        let free = !matches!(self.mode, Mode::Fair | Mode::Spare) || streams < most.max(1.0);
        free.then_some(streams)
    }
}
