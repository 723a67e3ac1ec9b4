//! Requests of other nodes that reports do not show yet.
//!
//! All nodes choose by the same reports, which are up to a second old. What the others have sent
//! since then is not known, but it is much the same as what this node would send if it had all
//! their requests: callers spread evenly over the nodes, and the nodes choose alike. So before a
//! node places a request of its own, it places theirs in thought, a part at a time, each part on
//! the chain that is the cheapest after the parts before it. Its own request goes as one of these
//! parts, drawn at random, so that all nodes together fill chains as they were filled in thought.
//! The idea is that of load balancing by interpreted stale reports (Dahlin, 2000), with the
//! incremental assignment of traffic to shortest paths in place of single servers.

use crate::search::Segment;
use crate::{Result, Timestamp};
use std::time::Duration;

/// Parts in which the requests of the others are placed. More parts spread them more finely and
/// cost a search each.
pub(crate) const INCREMENTS: u32 = 8;
/// Time in which a request counts less towards the usual rate by a factor of e.
const LONG_TERM_DECAY: Duration = Duration::from_secs(4);
/// The same for the rate of the moment: about the age of reports, since what came in that time is
/// what they do not show. Callers that were cut off come back together, many more than usual.
const SHORT_TERM_DECAY: Duration = Duration::from_millis(500);
/// Shortest time over which a rate is taken: one request in the first millisecond is no rate.
const MIN_RATE_PERIOD: Duration = Duration::from_millis(250);

/// Requests over which the mean stay is taken, at the most.
const MAX_SAMPLES: u32 = 32;

/// The cheapest chain once others have taken `parts` chains before it, each the cheapest after those
/// before; `take` puts a chain's load on what `find` looks at.
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
            // There is room for a part of the requests only.
            Err(_) => break,
        }
    }
    Ok(found)
}

/// Requests a second, those of long ago counting less.
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

    /// The rate of requests that have come for `time`. Where that is shorter than the memory, what
    /// it would hold of earlier ones is missing and made up for.
    fn rate_over(&self, now: Timestamp, time: Duration) -> f64 {
        self.decayed(now) / (1.0 - self.weight(time.max(MIN_RATE_PERIOD)))
    }

    /// Part that counts after `age`.
    fn weight(&self, age: Duration) -> f64 {
        (-age.as_secs_f64() / self.decay.as_secs_f64()).exp()
    }
}

/// How requests of one service come to this node and how long they stay.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Flow {
    long_term: Rate,
    short_term: Rate,
    /// When the first request came.
    first_at: Option<Timestamp>,
    residence: Duration,
    /// Requests that the stay is the mean of; what was expected at first counts as one.
    samples: u32,
}

impl Flow {
    /// Nothing came yet; requests are expected to stay for `stay`.
    pub(crate) fn new(residence: Duration) -> Self {
        Self {
            long_term: Rate::new(LONG_TERM_DECAY),
            short_term: Rate::new(SHORT_TERM_DECAY),
            first_at: None,
            residence,
            samples: 1,
        }
    }

    /// A request came.
    pub(crate) fn record_arrival(&mut self, now: Timestamp) {
        self.first_at.get_or_insert(now);
        self.long_term.record(now);
        self.short_term.record(now);
    }

    /// A request ended well after this time.
    pub(crate) fn record_residence(&mut self, time: Duration) {
        self.samples = (self.samples + 1).min(MAX_SAMPLES);
        let weight = 1.0 / f64::from(self.samples);
        self.residence = self.residence.mul_f64(1.0 - weight) + time.mul_f64(weight);
    }

    /// The part of the requests that go to a part of the endpoints.
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

    /// How long requests stay, on average.
    pub(crate) fn residence(&self) -> Duration {
        self.residence
    }

    /// Requests a second: as usual, or more if more come at the moment.
    fn rate(&self, now: Timestamp) -> f64 {
        let first_at = self.first_at.unwrap_or(now);
        let time = now.saturating_sub(first_at);
        let (long_term, short_term) = (
            self.long_term.rate_over(now, time),
            self.short_term.rate_over(now, time),
        );
        long_term.max(short_term)
    }

    /// Requests that the other ones of `nodes` nodes got in the last `time` and that have not
    /// ended.
    pub(crate) fn others_in_flight(&self, now: Timestamp, nodes: f64, time: Duration) -> f64 {
        let residence = self.residence.as_secs_f64().max(1e-9);
        let remaining = residence * (1.0 - (-time.as_secs_f64() / residence).exp());
        self.rate(now) * (nodes - 1.0).max(0.0) * remaining
    }
}
