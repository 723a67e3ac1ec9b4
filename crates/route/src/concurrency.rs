//! Adaptive concurrency limit of an endpoint, based on the time it takes for its part of a token.
//!
//! The limit grows by one and shrinks by a factor (additive increase, multiplicative decrease), at
//! most once per [`ADJUST_INTERVAL`], so that routers that share an endpoint converge on fair
//! shares.
//!
//! Two safeguards keep the limit from dropping to one while the accelerator is idle. First, an
//! adjustment uses only hops that started after the previous one: an average that includes older
//! hops still reflects the higher limit, and the limit would keep dropping until it catches up.
//! Second, a hop close to the minimum time observed on the endpoint never lowers the limit: the hop
//! did not queue, and fewer requests would not make it faster. To learn this minimum before
//! queueing hides it, the limit starts low and grows by a quarter at a time.

use crate::Now;
use std::time::Duration;

/// Minimum time between two adjustments of a limit.
pub const ADJUST_INTERVAL: Duration = Duration::from_millis(200);
/// Factor of a decrease.
const DECREASE_FACTOR: f64 = 0.9;
/// The limit stays while the mean time is between the target and the target times this factor.
/// Without this band, the limits of many routers oscillate around one or two and leave endpoints
/// idle in turn.
const TOLERANCE_FACTOR: f64 = 1.25;
/// Minimum number of hops for an adjustment.
const MIN_SAMPLES: u32 = 4;
/// A hop that takes at most the minimum time multiplied by this factor counts as unqueued.
const UNQUEUED_FACTOR: f64 = 1.3;
/// Growth of the minimum time with each adjustment, so that an endpoint that became permanently
/// slower is recognized within a minute.
const MIN_TIME_GROWTH: f64 = 1.002;
/// Maximum factor by which the minimum time raises the target time, since the minimum may have been
/// measured behind the queues of other nodes.
const MAX_TARGET_STRETCH: f64 = 8.0;
/// Limit before any measurement.
const INITIAL_LIMIT: f64 = 4.0;
/// Growth of the limit, as a fraction of it, while hops are well below the target time.
const GROWTH_FRACTION: f64 = 0.25;
/// Ratio of mean time to target time below which the limit grows by [`GROWTH_FRACTION`] instead of
/// one.
const FAST_GROWTH_RATIO: f64 = 0.8;
/// Lower bound of the factor of a decrease.
const MIN_DECREASE_FACTOR: f64 = 0.7;
/// Weight of one measurement in an exponentially weighted average.
const SMOOTHING_FACTOR: f64 = 0.05;
/// Number of deviations above the mean time after which a hop counts as silent.
const SILENCE_DEVIATIONS: f64 = 6.0;
/// Multiple of the mean time after which a hop counts as silent.
const SILENCE_MULTIPLE: f64 = 8.0;

/// Maximum of [`Limiter::silence_factor`].
const MAX_SILENCE_FACTOR: f64 = 4.0;

/// Concurrency limit and hop times of one endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Limiter {
    /// Mean time of a hop after the first token, in seconds; 0 while unknown.
    pub mean_time: f64,
    /// Mean absolute deviation from it, in seconds.
    pub deviation: f64,
    /// Maximum number of concurrent requests.
    pub limit: f64,
    /// Factor on the silence timeout; doubles when an answered probe shows that the endpoint may
    /// just be slow.
    pub silence_factor: f64,
    /// Ratio of the mean time to the target time.
    pub slowdown: f64,
    last_change: Now,
    slots: f64,
    /// Minimum over the mean times of past adjustments, in seconds; 0 while unknown.
    min_time: f64,
    /// Number of hops since the last adjustment, and the sum of their times in seconds.
    samples: u32,
    sample_sum: f64,
}

impl Limiter {
    /// Creates the limiter of an endpoint with `slots` concurrent requests and no measurements.
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

    /// Adopts the number of slots of a new bundle.
    pub fn resize(&mut self, slots: u32) {
        let slots = f64::from(slots.max(1));
        self.limit = (self.limit * slots / self.slots).clamp(1.0, slots);
        self.slots = slots;
    }

    /// Records a hop that took `took`. `target` is the target time, `running` the number of this
    /// router's requests that run there.
    pub fn record_hop(&mut self, now: Now, took: Duration, target: Duration, running: u32) {
        let began = now.saturating_sub(took);
        let took = took.as_secs_f64();
        let target = target.as_secs_f64().max(f64::EPSILON);
        if self.mean_time == 0.0 {
            self.mean_time = took;
            self.deviation = took / 2.0;
        }
        self.deviation += SMOOTHING_FACTOR * ((took - self.mean_time).abs() - self.deviation);
        self.mean_time += SMOOTHING_FACTOR * (took - self.mean_time);
        self.silence_factor = (self.silence_factor * 0.999).max(1.0);
        self.slowdown = self.mean_time / target;
        if began < self.last_change {
            return;
        }
        self.samples += 1;
        self.sample_sum += took;
        if now >= self.last_change + ADJUST_INTERVAL && self.samples >= MIN_SAMPLES {
            let mean = self.sample_sum / f64::from(self.samples);
            self.adjust(now, mean, target, running);
        }
    }

    /// Adjusts the limit by the mean time of the hops since the last adjustment.
    fn adjust(&mut self, now: Now, mean: f64, target: f64, running: u32) {
        // A hop that runs alone shows the time that the endpoint needs, even if it is longer than
        // before.
        let alone = self.limit < 2.0 || self.min_time == 0.0;
        self.min_time = if alone {
            mean
        } else {
            mean.min(self.min_time * MIN_TIME_GROWTH)
        };
        let target = target.max((self.min_time * UNQUEUED_FACTOR).min(target * MAX_TARGET_STRETCH));
        let over = mean / target;
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

    /// Records an answer that the endpoint is full while it ran `running` requests of this router.
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

    /// Resets the limiter to a limit of one, used after an ejection.
    pub fn reset(&mut self, now: Now) {
        self.limit = 1.0;
        self.begin_interval(now);
        self.min_time = 0.0;
        self.mean_time = 0.0;
        self.deviation = 0.0;
        self.slowdown = 0.0;
    }

    /// Returns the time without progress that counts as silence, at least `floor` and at most
    /// `max`.
    pub fn silence_timeout(&self, floor: Duration, max: Duration) -> Duration {
        let usual = (self.mean_time * SILENCE_MULTIPLE)
            .max(self.mean_time + SILENCE_DEVIATIONS * self.deviation);
        let silence = Duration::from_secs_f64(usual.max(floor.as_secs_f64()) * self.silence_factor);
        silence.min(max.max(floor))
    }

    /// Raises the silence timeout after an answered probe: the endpoint may be slow rather than
    /// silent.
    pub fn extend_silence(&mut self) {
        self.silence_factor = (self.silence_factor * 2.0).min(MAX_SILENCE_FACTOR);
    }
}
