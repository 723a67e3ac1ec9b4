//! Limiter: how long an endpoint takes for its part of a token, and the concurrency that follows.
//!
//! The limit grows by one and shrinks by a factor (additive increase, multiplicative decrease),
//! at most once per [`ADJUST_INTERVAL`], so that routers which share an endpoint converge on fair parts.
//!
//! Two safeguards keep it from falling to one beside an idle accelerator. A decision looks only at
//! hops that began after the last change: an average over older ones still shows the higher limit,
//! and the limit fell on and on while it caught up. And a hop near the least time that the endpoint
//! has shown is not held against it: it has no queue, so fewer requests would not make it faster. To
//! learn that time before queues hide it, the limit starts low and grows by a quarter at a time.

use crate::Now;
use std::time::Duration;

/// Shortest time between two changes of a limit.
pub const ADJUST_INTERVAL: Duration = Duration::from_millis(200);
/// Factor of a decrease.
const DECREASE_FACTOR: f64 = 0.9;
/// Above the aimed time and below this times it the limit stays: without the band, the limits of
/// many routers swing about one or two and leave endpoints idle by turns.
const TOLERANCE_FACTOR: f64 = 1.25;
/// Hops that a decision needs.
const MIN_SAMPLES: u32 = 4;
/// Times of a hop up to this many times the least one count as free of queueing.
const UNQUEUED_FACTOR: f64 = 1.3;
/// Growth of the least time with each decision, so that an endpoint that got slower for good is
/// found out within a minute.
const MIN_TIME_GROWTH: f64 = 1.002;
/// Most that the least time stretches the aimed time: it may have been learned beside the queues of
/// other nodes.
const MAX_TARGET_STRETCH: f64 = 8.0;
/// Limit at the start.
const INITIAL_LIMIT: f64 = 4.0;
/// Part of the limit by which it grows while hops are well below the aimed time.
const GROWTH_FRACTION: f64 = 0.25;
/// Part of the aimed time that is well below it.
const FAST_GROWTH_RATIO: f64 = 0.8;
/// Strongest decrease.
const MIN_DECREASE_FACTOR: f64 = 0.7;
/// Part that one measurement has in an average.
const SMOOTHING_FACTOR: f64 = 0.05;
/// Deviations above the usual time after which a hop counts as silent.
const SILENCE_DEVIATIONS: f64 = 6.0;
/// Usual times after which a hop counts as silent.
const SILENCE_MULTIPLE: f64 = 8.0;

/// Most that the time that counts as silence is stretched.
const MAX_SILENCE_FACTOR: f64 = 4.0;

/// Limiter of one endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Limiter {
    /// Usual time of a hop after the first token, in seconds; 0 if not known.
    pub mean_time: f64,
    /// Usual deviation from it, in seconds.
    pub deviation: f64,
    /// Requests that may run at once.
    pub limit: f64,
    /// Factor on the time that counts as silence; grows when silence proved to be slowness.
    pub silence_factor: f64,
    /// Usual time over the time that the limit aims at.
    pub slowdown: f64,
    last_change: Now,
    slots: f64,
    /// Least mean time of the hops of one decision, in seconds; 0 if not known.
    min_time: f64,
    /// Hops since the last decision, and their times added up, in seconds.
    samples: u32,
    sample_sum: f64,
}

impl Limiter {
    /// The pace of an endpoint with `slots`, of which nothing is known yet.
    pub fn new(slots: u32) -> Self {
        let slots = f64::from(slots.max(1));
        Self {
            mean_time: 0.0,
            deviation: 0.0,
            limit: slots.min(INITIAL_LIMIT),
            silence_factor: 1.0,
            slowdown: 0.0,
            last_change: Now::ZERO,
            slots,
            min_time: 0.0,
            samples: 0,
            sample_sum: 0.0,
        }
    }

    /// Takes in the slots of a new bundle.
    pub fn resize(&mut self, slots: u32) {
        let slots = f64::from(slots.max(1));
        self.limit = (self.limit * slots / self.slots).clamp(1.0, slots);
        self.slots = slots;
    }

    /// A hop took `took`; `allowed` is the time that the limit aims at, `running` what ran.
    pub fn record_hop(&mut self, now: Now, took: Duration, allowed: Duration, running: u32) {
        let began = now.saturating_sub(took);
        let took = took.as_secs_f64();
        let allowed = allowed.as_secs_f64().max(f64::EPSILON);
        if self.mean_time == 0.0 {
            self.mean_time = took;
            self.deviation = took / 2.0;
        }
        self.deviation += SMOOTHING_FACTOR * ((took - self.mean_time).abs() - self.deviation);
        self.mean_time += SMOOTHING_FACTOR * (took - self.mean_time);
        self.silence_factor = (self.silence_factor * 0.999).max(1.0);
        self.slowdown = self.mean_time / allowed;
        if began < self.last_change {
            return;
        }
        self.samples += 1;
        self.sample_sum += took;
        if now >= self.last_change + ADJUST_INTERVAL && self.samples >= MIN_SAMPLES {
            let mean = self.sample_sum / f64::from(self.samples);
            self.adjust(now, mean, allowed, running);
        }
    }

    /// Decides on the limit by the mean time of the hops since the last decision.
    fn adjust(&mut self, now: Now, mean: f64, allowed: f64, running: u32) {
        // Alone, a hop shows what the endpoint needs, be it more than before.
        let alone = self.limit < 2.0 || self.min_time == 0.0;
        self.min_time = if alone {
            mean
        } else {
            mean.min(self.min_time * MIN_TIME_GROWTH)
        };
        let allowed =
            allowed.max((self.min_time * UNQUEUED_FACTOR).min(allowed * MAX_TARGET_STRETCH));
        let over = mean / allowed;
        self.begin_interval(now);
        if over > TOLERANCE_FACTOR {
            self.decrease(
                running,
                (1.0 / over).clamp(MIN_DECREASE_FACTOR, DECREASE_FACTOR),
            );
        } else if over < 1.0 && f64::from(running) + 1.0 >= self.limit {
            let step = if over < FAST_GROWTH_RATIO {
                self.limit * GROWTH_FRACTION
            } else {
                1.0
            };
            self.limit = (self.limit + step.max(1.0)).min(self.slots);
        }
    }

    fn begin_interval(&mut self, now: Now) {
        self.last_change = now;
        self.samples = 0;
        self.sample_sum = 0.0;
    }

    /// The endpoint answered that it is full with `running` of this router.
    pub fn record_busy(&mut self, now: Now, running: u32) {
        if now >= self.last_change + ADJUST_INTERVAL {
            self.begin_interval(now);
            self.decrease(running, DECREASE_FACTOR);
        }
    }

    fn decrease(&mut self, running: u32, factor: f64) {
        let base = self.limit.min(f64::from(running).max(1.0));
        self.limit = (base * factor).max(1.0);
    }

    /// Starts over with a limit of one, as after an ejection.
    pub fn reset(&mut self, now: Now) {
        self.limit = 1.0;
        self.begin_interval(now);
        self.min_time = 0.0;
        self.mean_time = 0.0;
        self.deviation = 0.0;
        self.slowdown = 0.0;
    }

    /// Time without progress that counts as silence, within `floor` and `most`.
    pub fn silence_timeout(&self, floor: Duration, most: Duration) -> Duration {
        let usual = (self.mean_time * SILENCE_MULTIPLE)
            .max(self.mean_time + SILENCE_DEVIATIONS * self.deviation);
        let silence = Duration::from_secs_f64(usual.max(floor.as_secs_f64()) * self.silence_factor);
        silence.min(most.max(floor))
    }

    /// Silence was followed by an answered probe: it may have been slowness.
    pub fn extend_silence(&mut self) {
        self.silence_factor = (self.silence_factor * 2.0).min(MAX_SILENCE_FACTOR);
    }
}
