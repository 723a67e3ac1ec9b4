//! Estimate of the requests of other nodes that load reports do not show yet.
//!
//! All nodes select by the same reports, which are up to a second old. The requests that the other
//! nodes have sent since are unknown, but resemble what this node would send if it received all
//! their requests: callers are spread evenly over the nodes, and all nodes select alike. Before a
//! node places a request of its own, it therefore simulates the placement of theirs in increments,
//! each on the chain that is cheapest after the previous ones. Its own request takes the place of a
//! random increment, so that all nodes together fill the chains as in the simulation.
//!
//! This combines load balancing by interpretation of stale reports (Dahlin, 2000) with the
//! incremental assignment of traffic to shortest paths instead of to single servers.

use crate::search::Segment;
use crate::{Result, Timestamp};
use std::time::Duration;

/// Number of increments in which the requests of the other nodes are placed. More increments spread
/// them more evenly and cost one search each.
pub(crate) const INCREMENTS: u32 = 8;
/// Time in which the weight of a request in the long-term rate decays by a factor of e.
const LONG_TERM_DECAY: Duration = Duration::from_secs(4);
/// Same for the short-term rate: about the age of reports, since they do not show the requests that
/// arrived in that time. Callers that were cut off return together, at a much higher rate than
/// usual.
const SHORT_TERM_DECAY: Duration = Duration::from_millis(500);
/// Minimum period over which a rate is computed: one request in the first millisecond is not a
/// rate.
const MIN_RATE_PERIOD: Duration = Duration::from_millis(250);

/// Maximum number of requests over which the mean residence time is computed.
const MAX_SAMPLES: u32 = 32;

/// Returns the cheapest chain after `increments` simulated placements, each on the chain that is
/// cheapest after the previous ones. `find` searches `state`, and `apply` adds the load of a chain
/// to it.
pub(crate) fn assign_incrementally<T>(
    state: &mut T,
    increments: u32,
    find: impl Fn(&T) -> Result<Vec<Segment>>,
    apply: impl Fn(&mut T, &[Segment]),
) -> Result<Vec<Segment>> {
    let mut found = find(state)?;
    for _ in 0..increments {
        apply(state, &found);
        match find(state) {
            Ok(chain) => found = chain,
            // Only some of the simulated requests fit.
            Err(_) => break,
        }
    }
    Ok(found)
}

/// Exponentially decaying rate, in requests per second.
#[derive(Clone, Copy, Debug)]
struct Rate {
    decay: Duration,
    per_second: f64,
    updated_at: Timestamp,
}

impl Rate {
    fn new(decay: Duration) -> Self {
        Self {
            decay,
            per_second: 0.0,
            updated_at: Timestamp::ZERO,
        }
    }

    fn record(&mut self, now: Timestamp) {
        self.per_second = self.decayed(now) + 1.0 / self.decay.as_secs_f64();
        self.updated_at = now;
    }

    fn decayed(&self, now: Timestamp) -> f64 {
        self.per_second * self.weight(now.saturating_sub(self.updated_at))
    }

    /// Returns the rate of requests that have been recorded for `time`. If `time` is shorter than
    /// the decay time, it compensates for the requests that would have arrived before.
    fn rate_over(&self, now: Timestamp, time: Duration) -> f64 {
        self.decayed(now) / (1.0 - self.weight(time.max(MIN_RATE_PERIOD)))
    }

    /// Returns the weight of a request of this age.
    fn weight(&self, age: Duration) -> f64 {
        (-age.as_secs_f64() / self.decay.as_secs_f64()).exp()
    }
}

/// Arrival rates and residence time of the requests of one service at this node.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Flow {
    long_term: Rate,
    short_term: Rate,
    /// Arrival of the first request.
    first_at: Option<Timestamp>,
    residence: Duration,
    /// Number of samples in the mean residence time; the initial estimate counts as one.
    samples: u32,
}

impl Flow {
    /// Creates a flow without requests whose expected residence time is `residence`.
    pub(crate) fn new(residence: Duration) -> Self {
        Self {
            long_term: Rate::new(LONG_TERM_DECAY),
            short_term: Rate::new(SHORT_TERM_DECAY),
            first_at: None,
            residence,
            samples: 1,
        }
    }

    /// Records the arrival of a request.
    pub(crate) fn record_arrival(&mut self, now: Timestamp) {
        self.first_at.get_or_insert(now);
        self.long_term.record(now);
        self.short_term.record(now);
    }

    /// Records the residence time of a request that succeeded.
    pub(crate) fn record_residence(&mut self, time: Duration) {
        self.samples = (self.samples + 1).min(MAX_SAMPLES);
        let weight = 1.0 / f64::from(self.samples);
        self.residence = self.residence.mul_f64(1.0 - weight) + time.mul_f64(weight);
    }

    /// Returns the flow of the fraction of the requests that goes to a fraction of the endpoints.
    pub(crate) fn scaled(self, fraction: f64) -> Self {
        let scaled = |rate: Rate| Rate {
            per_second: rate.per_second * fraction,
            ..rate
        };
        Self {
            long_term: scaled(self.long_term),
            short_term: scaled(self.short_term),
            ..self
        }
    }

    /// Returns the mean residence time of requests.
    pub(crate) fn residence(&self) -> Duration {
        self.residence
    }

    /// Returns the arrival rate per second: the long-term rate, or the short-term rate if it is
    /// higher.
    pub(crate) fn rate(&self, now: Timestamp) -> f64 {
        let first_at = self.first_at.unwrap_or(now);
        let time = now.saturating_sub(first_at);
        let (long_term, short_term) = (
            self.long_term.rate_over(now, time),
            self.short_term.rate_over(now, time),
        );
        long_term.max(short_term)
    }

    /// Returns the number of requests that the other nodes among `nodes` received within the last
    /// `time` and that have not ended.
    pub(crate) fn others_in_flight(&self, now: Timestamp, nodes: f64, time: Duration) -> f64 {
        let residence = self.residence.as_secs_f64().max(1e-9);
        let remaining = residence * (1.0 - (-time.as_secs_f64() / residence).exp());
        self.rate(now) * (nodes - 1.0).max(0.0) * remaining
    }
}
