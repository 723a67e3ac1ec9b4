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

use crate::search::Part;
use crate::{Now, Result};
use std::time::Duration;

/// Parts in which the requests of the others are placed. More parts spread them more finely and
/// cost a search each.
pub(crate) const PARTS: u32 = 8;
/// Time in which a request counts less towards the usual rate by a factor of e.
const USUAL: Duration = Duration::from_secs(4);
/// The same for the rate of the moment: about the age of reports, since what came in that time is
/// what they do not show. Callers that were cut off come back together, many more than usual.
const MOMENT: Duration = Duration::from_millis(500);
/// Shortest time over which a rate is taken: one request in the first millisecond is no rate.
const YOUNG: Duration = Duration::from_millis(250);

/// Requests over which the mean stay is taken, at the most.
const COUNTED: u32 = 32;

/// The cheapest chain once others have taken `parts` chains before it, each the cheapest after those
/// before; `take` puts a chain's load on what `find` looks at.
pub(crate) fn after<T>(
    world: &mut T,
    parts: u32,
    find: impl Fn(&T) -> Result<Vec<Part>>,
    take: impl Fn(&mut T, &[Part]),
) -> Result<Vec<Part>> {
    let mut found = find(world)?;
    for _ in 0..parts {
        take(world, &found);
        match find(world) {
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
    memory: Duration,
    per_second: f64,
    at: Now,
}

impl Rate {
    fn new(memory: Duration) -> Self {
        Self {
            memory,
            per_second: 0.0,
            at: Now::ZERO,
        }
    }

    fn came(&mut self, now: Now) {
        self.per_second = self.faded(now) + 1.0 / self.memory.as_secs_f64();
        self.at = now;
    }

    fn faded(&self, now: Now) -> f64 {
        self.per_second * self.left(now.saturating_sub(self.at))
    }

    /// The rate of requests that have come for `time`. Where that is shorter than the memory, what
    /// it would hold of earlier ones is missing and made up for.
    fn over(&self, now: Now, time: Duration) -> f64 {
        self.faded(now) / (1.0 - self.left(time.max(YOUNG)))
    }

    /// Part that counts after `age`.
    fn left(&self, age: Duration) -> f64 {
        (-age.as_secs_f64() / self.memory.as_secs_f64()).exp()
    }
}

/// How requests of one service come to this node and how long they stay.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Flow {
    usual: Rate,
    moment: Rate,
    /// When the first request came.
    since: Option<Now>,
    stay: Duration,
    /// Requests that the stay is the mean of; what was expected at first counts as one.
    counted: u32,
}

impl Flow {
    /// Nothing came yet; requests are expected to stay for `stay`.
    pub(crate) fn new(stay: Duration) -> Self {
        Self {
            usual: Rate::new(USUAL),
            moment: Rate::new(MOMENT),
            since: None,
            stay,
            counted: 1,
        }
    }

    /// A request came.
    pub(crate) fn came(&mut self, now: Now) {
        self.since.get_or_insert(now);
        self.usual.came(now);
        self.moment.came(now);
    }

    /// A request ended well after this time.
    pub(crate) fn ended(&mut self, time: Duration) {
        self.counted = (self.counted + 1).min(COUNTED);
        let part = 1.0 / f64::from(self.counted);
        self.stay = self.stay.mul_f64(1.0 - part) + time.mul_f64(part);
    }

    /// The part of the requests that go to a part of the endpoints.
    pub(crate) fn scaled(self, part: f64) -> Self {
        let scaled = |rate: Rate| Rate {
            per_second: rate.per_second * part,
            ..rate
        };
        Self {
            usual: scaled(self.usual),
            moment: scaled(self.moment),
            ..self
        }
    }

    /// How long requests stay, on average.
    pub(crate) fn stay(&self) -> Duration {
        self.stay
    }

    /// Requests a second: as usual, or more if more come at the moment.
    fn rate(&self, now: Now) -> f64 {
        let since = self.since.unwrap_or(now);
        let time = now.saturating_sub(since);
        let (usual, moment) = (self.usual.over(now, time), self.moment.over(now, time));
        usual.max(moment)
    }

    /// Requests that the other ones of `nodes` nodes got in the last `time` and that have not
    /// ended.
    pub(crate) fn others(&self, now: Now, nodes: f64, time: Duration) -> f64 {
        let stay = self.stay.as_secs_f64().max(1e-9);
        let staying = stay * (1.0 - (-time.as_secs_f64() / stay).exp());
        self.rate(now) * (nodes - 1.0).max(0.0) * staying
    }
}
