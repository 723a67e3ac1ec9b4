//! Estimate of the wait for a slot, by the rate at which slots recently became free for a queue.

use crate::Timestamp;
use catalog::bounds;
use std::time::Duration;

/// Time in which the weight of a slot decays by a factor of e. It covers several slots of a service
/// at which a wait of some 100 ms can succeed, and follows the loss of endpoints within a second.
const DECAY: Duration = Duration::from_secs(1);
/// Minimum weight of the recent slots at which the rate counts as known: two slots in 0.7 s.
const MIN_SLOTS: f64 = 1.5;
/// Time without a slot after which the rate is unknown: its endpoints may all be gone.
const MAX_AGE: Duration = Duration::from_secs(2);
/// Number of mean intervals without a slot after which that time lowers the rate. Before, it is part
/// of the usual variation.
const MAX_INTERVALS: f64 = 2.0;
/// Minimum time over which a rate is computed: slots that become free together are not a rate.
const MIN_BUSY_SECS: f64 = 0.001;

/// Retry-after delay when no rate is known: a fraction of a response's duration.
const RETRY_AFTER_UNKNOWN: Duration = Duration::from_millis(400);
/// Minimum retry-after delay: a shorter one costs callers a connection for nothing.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Maximum retry-after delay. Callers ignore a delay beyond a third of the time that they have left,
/// which is at most 20 s, and the delay is spread over twice its length.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Rate at which slots become free while requests wait.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SlotRate {
    /// Decayed number of slots.
    slots: f64,
    /// Decayed time, up to the last slot, during which requests waited.
    busy_secs: f64,
    last_slot: Timestamp,
    /// Time since the last slot during which requests waited, without the current period.
    busy_since_slot: Duration,
    /// Begin of the current period during which requests wait.
    busy_from: Option<Timestamp>,
}

impl SlotRate {
    /// Records whether requests wait from now on.
    pub(super) fn set_busy(&mut self, now: Timestamp, busy: bool) {
        match self.busy_from {
            None if busy => self.busy_from = Some(now),
            Some(from) if !busy => {
                self.busy_since_slot += now.saturating_sub(from);
                self.busy_from = None;
            }
            _ => {}
        }
    }

    /// Records that a waiting request got a slot.
    pub(super) fn record_slot(&mut self, now: Timestamp) {
        let age = now.saturating_sub(self.last_slot);
        let weight = (-age.as_secs_f64() / DECAY.as_secs_f64()).exp();
        self.slots = self.slots * weight + 1.0;
        self.busy_secs = self.busy_secs * weight + self.busy_time(now).as_secs_f64();
        self.last_slot = now;
        self.busy_since_slot = Duration::ZERO;
        self.busy_from = self.busy_from.map(|_| now);
    }

    /// Returns the number of slots per second; `None` if it is unknown.
    pub(super) fn per_second(&self, now: Timestamp) -> Option<f64> {
        if self.slots < MIN_SLOTS || now.saturating_sub(self.last_slot) > MAX_AGE {
            return None;
        }
        let rate = self.slots / self.busy_secs.max(MIN_BUSY_SECS);
        let since_slot = self.busy_time(now).as_secs_f64();
        Some(match since_slot * rate > MAX_INTERVALS {
            true => self.slots / (self.busy_secs + since_slot),
            false => rate,
        })
    }

    /// Returns the time until a request with `ahead` others before it is expected to get a slot;
    /// `None` if the rate is unknown.
    pub(super) fn wait(&self, now: Timestamp, ahead: usize) -> Option<Duration> {
        let interval = 1.0 / self.per_second(now)?;
        let elapsed = self.busy_time(now).as_secs_f64().min(interval);
        Some(bounds::duration(interval * (ahead + 1) as f64 - elapsed))
    }

    /// Returns the time since the last slot during which requests waited.
    fn busy_time(&self, now: Timestamp) -> Duration {
        let current = self.busy_from.map(|from| now.saturating_sub(from));
        self.busy_since_slot + current.unwrap_or_default()
    }
}

/// Returns the retry-after delay of a request that would get a slot after `wait`, before it is
/// spread.
pub(super) fn retry_after(wait: Option<Duration>) -> Duration {
    wait.unwrap_or(RETRY_AFTER_UNKNOWN)
        .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}
