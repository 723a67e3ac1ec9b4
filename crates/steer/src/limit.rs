//! Limits: how many requests a second an endpoint in need takes from all nodes together.
//!
//! A limit is a request of the endpoint and not a failure. So it is kept apart from
//! [`crate::health::Health`], and lasts until a response to a later request does not name it.
//!
//! The nodes share a limit without asking each other. Each ranks all nodes by a hash of the endpoint's
//! run and the node. As many nodes as the limit has requests in [`MIN_PART_INTERVAL`] take an equal part
//! each, in the order of their ranks. In a large fleet the parts of the others would be too small to be
//! of use; they only send a request now and then, to notice the end of the limit.

use crate::Timestamp;
use catalog::endpoint::Run;
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Shortest time between two requests of a node that has a part of a limit, if there are more nodes
/// than parts.
const MIN_PART_INTERVAL: Duration = Duration::from_secs(1);
/// Requests of all nodes without a part, as a fraction of the limit.
const OTHERS_FRACTION: f64 = 0.2;

/// The nodes that may send requests to an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Nodes<'a> {
    /// Addresses for callers of the nodes that are known to send requests.
    pub known: &'a [SocketAddr],
    /// Address for callers of this node.
    pub me: Option<SocketAddr>,
    /// Number of nodes that may send requests, if it exceeds that of the known ones.
    pub count: usize,
}

impl Nodes<'_> {
    fn count(&self) -> usize {
        self.count.max(self.known.len()).max(1)
    }

    /// Returns the number of known nodes before this one in the order in which the parts of the limit
    /// of a run are taken.
    fn rank(&self, run: &Run) -> usize {
        let Some(me) = self.me else {
            return 0;
        };
        let key = |addr: &SocketAddr| (xxh3_64(format!("{run} {addr}").as_bytes()), *addr);
        let own = key(&me);
        self.known.iter().filter(|addr| key(addr) < own).count()
    }
}

/// Limit of an endpoint, and the part of it that this node takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// Mean time between two requests of all nodes together.
    pub interval: Duration,
    /// Time between two requests of this node.
    own_interval: Duration,
    /// Time from which the next request may be sent.
    next_request: Timestamp,
    /// When this node was last sent the limit.
    named_at: Timestamp,
}

impl Limit {
    /// Creates a limit that a response of `run` names now. `earlier` is what was known of it before.
    pub fn new(
        now: Timestamp,
        run: &Run,
        interval: Duration,
        nodes: Nodes<'_>,
        earlier: Option<Self>,
    ) -> Self {
        let count = nodes.count();
        let parts = MIN_PART_INTERVAL.as_secs_f64() / interval.as_secs_f64().max(f64::MIN_POSITIVE);
        let parts = (parts as usize).clamp(1, count);
        let rank = nodes.rank(run);
        let (place, sharers, fraction) = match rank < parts {
            true => (rank, parts, 1.0),
            false => (rank - parts, count.max(rank + 1) - parts, OTHERS_FRACTION),
        };
        let own_interval = saturating_mul(interval, sharers as f64 / fraction);
        // The sharers begin one after the other.
        let wait = saturating_mul(own_interval, place as f64 / sharers as f64);
        let first = now.saturating_add(wait);
        Self {
            interval,
            own_interval,
            next_request: earlier.map_or(first, |earlier| earlier.next_request),
            named_at: now,
        }
    }

    /// Returns the number of requests a second.
    pub fn per_second(&self) -> f64 {
        1.0 / self.interval.as_secs_f64().max(f64::MIN_POSITIVE)
    }

    /// Returns when this node was last sent the limit.
    pub fn named_at(&self) -> Timestamp {
        self.named_at
    }

    /// Returns the time from which the next request may be sent.
    pub fn next_request(&self) -> Timestamp {
        self.next_request
    }

    /// Records that a request is sent now.
    pub fn record_request(&mut self, now: Timestamp) {
        self.next_request = now.max(self.next_request).saturating_add(self.own_interval);
    }

    /// Returns whether a response without a limit ends it; `began` is when its attempt began. A response
    /// to an earlier request may have been sent before the limit.
    pub fn is_ended_by(&self, began: Timestamp) -> bool {
        began >= self.named_at
    }
}

fn saturating_mul(time: Duration, factor: f64) -> Duration {
    Duration::try_from_secs_f64(time.as_secs_f64() * factor).unwrap_or(Duration::MAX)
}
