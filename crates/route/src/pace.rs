//! Pace: how long an endpoint takes for its part of a token, and the concurrency that follows.
//!
//! The limit grows by one and shrinks by a factor (additive increase, multiplicative decrease),
//! at most once per [`PERIOD`], so that routers which share an endpoint converge on fair parts.

use crate::Now;
use std::time::Duration;

/// Shortest time between two changes of a limit.
pub const PERIOD: Duration = Duration::from_millis(200);
/// Factor of a decrease.
const DECREASE: f64 = 0.9;
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
}

impl Pace {
    /// The pace of an endpoint with `slots`, of which nothing is known yet.
    pub fn new(slots: u32) -> Self {
        let slots = f64::from(slots.max(1));
        Self {
            usual: 0.0,
            deviation: 0.0,
            limit: slots,
            doubt: 1.0,
            slow: 0.0,
            changed: Now::ZERO,
            slots,
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
        let took = took.as_secs_f64();
        if self.usual == 0.0 {
            self.usual = took;
            self.deviation = took / 2.0;
        }
        self.deviation += GAIN * ((took - self.usual).abs() - self.deviation);
        self.usual += GAIN * (took - self.usual);
        self.doubt = (self.doubt * 0.999).max(1.0);
        self.slow = self.usual / allowed.as_secs_f64().max(f64::EPSILON);
        if now < self.changed + PERIOD {
            return;
        }
        if self.usual > allowed.as_secs_f64() {
            self.decrease(now, running);
        } else if f64::from(running) + 1.0 >= self.limit {
            self.limit = (self.limit + 1.0).min(self.slots);
            self.changed = now;
        }
    }

    /// The endpoint answered that it is full with `running` of this router.
    pub fn full(&mut self, now: Now, running: u32) {
        if now >= self.changed + PERIOD {
            self.decrease(now, running);
        }
    }

    fn decrease(&mut self, now: Now, running: u32) {
        let base = self.limit.min(f64::from(running).max(1.0));
        self.limit = (base * DECREASE).max(1.0);
        self.changed = now;
    }

    /// Starts over with a limit of one, as after an ejection.
    pub fn restart(&mut self, now: Now) {
        self.limit = 1.0;
        self.changed = now;
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
