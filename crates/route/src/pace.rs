//! Pace: how long an endpoint takes for its part of a token, and the concurrency that follows.
//!
//! The limit grows by one and shrinks by a factor (additive increase, multiplicative decrease),
//! at most once per [`PERIOD`], so that routers which share an endpoint converge on fair parts.
//!
//! Two safeguards keep it from falling to one beside an idle accelerator. A decision looks only at
//! hops that began after the last change: an average over older ones still shows the higher limit,
//! and the limit fell on and on while it caught up. And a hop near the least time that the endpoint
//! has shown is not held against it: it has no queue, so fewer requests would not make it faster. To
//! learn that time before queues hide it, the limit starts low and grows by a quarter at a time.

use crate::Now;
use std::time::Duration;

/// Shortest time between two changes of a limit.
pub const PERIOD: Duration = Duration::from_millis(200);
/// Factor of a decrease.
const DECREASE: f64 = 0.9;
/// Above the aimed time and below this times it the limit stays: without the band, the limits of
/// many routers swing about one or two and leave endpoints idle by turns.
const BAND: f64 = 1.25;
/// Hops that a decision needs.
const HOPS: u32 = 4;
/// Times of a hop up to this many times the least one count as free of queueing.
const FREE: f64 = 1.3;
/// Growth of the least time with each decision, so that an endpoint that got slower for good is
/// found out within a minute.
const AGE: f64 = 1.002;
/// Most that the least time stretches the aimed time: it may have been learned beside the queues of
/// other nodes.
const STRETCH: f64 = 8.0;
/// Limit at the start.
const START: f64 = 4.0;
/// Part of the limit by which it grows while hops are well below the aimed time.
const GROWTH: f64 = 0.25;
/// Part of the aimed time that is well below it.
const WELL: f64 = 0.8;
/// Strongest decrease.
const LEAST_FACTOR: f64 = 0.7;
/// Part that one measurement has in an average.
const GAIN: f64 = 0.05;
/// Deviations above the usual time after which a hop counts as silent.
const DEVIATIONS: f64 = 6.0;
/// Usual times after which a hop counts as silent.
const FACTOR: f64 = 8.0;

/// Most that the time that counts as silence is stretched.
const MOST_DOUBT: f64 = 4.0;

/// Pace of one endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Pace {
    /// Usual time of a hop after the first token, in seconds; 0 if not known.
    pub usual: f64,
    /// Usual deviation from it, in seconds.
    pub deviation: f64,
    /// Requests that may run at once.
    pub limit: f64,
    /// Factor on the time that counts as silence; grows when silence proved to be slowness.
    pub doubt: f64,
    /// Usual time over the time that the limit aims at.
    pub slow: f64,
    changed: Now,
    slots: f64,
    /// Least mean time of the hops of one decision, in seconds; 0 if not known.
    least: f64,
    /// Hops since the last decision, and their times added up, in seconds.
    hops: u32,
    sum: f64,
}

impl Pace {
    /// The pace of an endpoint with `slots`, of which nothing is known yet.
    pub fn new(slots: u32) -> Self {
        let slots = f64::from(slots.max(1));
        Self {
            usual: 0.0,
            deviation: 0.0,
            limit: slots.min(START),
            doubt: 1.0,
            slow: 0.0,
            changed: Now::ZERO,
            slots,
            least: 0.0,
            hops: 0,
            sum: 0.0,
        }
    }

    /// Takes in the slots of a new bundle.
    pub fn resize(&mut self, slots: u32) {
        let slots = f64::from(slots.max(1));
        self.limit = (self.limit * slots / self.slots).clamp(1.0, slots);
        self.slots = slots;
    }

    /// A hop took `took`; `allowed` is the time that the limit aims at, `running` what ran.
    pub fn hop(&mut self, now: Now, took: Duration, allowed: Duration, running: u32) {
        let began = now.saturating_sub(took);
        let took = took.as_secs_f64();
        let allowed = allowed.as_secs_f64().max(f64::EPSILON);
        if self.usual == 0.0 {
            self.usual = took;
            self.deviation = took / 2.0;
        }
        self.deviation += GAIN * ((took - self.usual).abs() - self.deviation);
        self.usual += GAIN * (took - self.usual);
        self.doubt = (self.doubt * 0.999).max(1.0);
        self.slow = self.usual / allowed;
        if began < self.changed {
            return;
        }
        self.hops += 1;
        self.sum += took;
        if now >= self.changed + PERIOD && self.hops >= HOPS {
            let mean = self.sum / f64::from(self.hops);
            self.decide(now, mean, allowed, running);
        }
    }

    /// Decides on the limit by the mean time of the hops since the last decision.
    fn decide(&mut self, now: Now, mean: f64, allowed: f64, running: u32) {
        // Alone, a hop shows what the endpoint needs, be it more than before.
        let alone = self.limit < 2.0 || self.least == 0.0;
        self.least = if alone {
            mean
        } else {
            mean.min(self.least * AGE)
        };
        let allowed = allowed.max((self.least * FREE).min(allowed * STRETCH));
        let over = mean / allowed;
        self.mark(now);
        if over > BAND {
            self.decrease(running, (1.0 / over).clamp(LEAST_FACTOR, DECREASE));
        } else if over < 1.0 && f64::from(running) + 1.0 >= self.limit {
            let step = if over < WELL {
                self.limit * GROWTH
            } else {
                1.0
            };
            self.limit = (self.limit + step.max(1.0)).min(self.slots);
        }
    }

    fn mark(&mut self, now: Now) {
        self.changed = now;
        self.hops = 0;
        self.sum = 0.0;
    }

    /// The endpoint answered that it is full with `running` of this router.
    pub fn full(&mut self, now: Now, running: u32) {
        if now >= self.changed + PERIOD {
            self.mark(now);
            self.decrease(running, DECREASE);
        }
    }

    fn decrease(&mut self, running: u32, factor: f64) {
        let base = self.limit.min(f64::from(running).max(1.0));
        self.limit = (base * factor).max(1.0);
    }

    /// Starts over with a limit of one, as after an ejection.
    pub fn restart(&mut self, now: Now) {
        self.limit = 1.0;
        self.mark(now);
        self.least = 0.0;
        self.usual = 0.0;
        self.deviation = 0.0;
        self.slow = 0.0;
    }

    /// Time without progress that counts as silence, within `floor` and `most`.
    pub fn silence(&self, floor: Duration, most: Duration) -> Duration {
        let usual = (self.usual * FACTOR).max(self.usual + DEVIATIONS * self.deviation);
        let silence = Duration::from_secs_f64(usual.max(floor.as_secs_f64()) * self.doubt);
        silence.min(most.max(floor))
    }

    /// Silence was followed by an answered probe: it may have been slowness.
    pub fn mistaken(&mut self) {
        self.doubt = (self.doubt * 2.0).min(MOST_DOUBT);
    }
}
