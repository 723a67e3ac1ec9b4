//! Bounds the share of control's time that one recurring task takes.
//!
//! Planning layers and publishing a view cost time in proportion to the endpoints. Done in each step
//! before 3,000 endpoints, they took the whole processor of a small node: its reads of the store and
//! of its peers ended at their time limits, and it answered callers by an old catalog.

use std::time::Duration;
use tokio::time::Instant;

/// When a task may run again.
#[derive(Clone, Debug)]
pub struct Throttle {
    /// Time without the task after each run, in lengths of that run.
    rest_factor: u32,
    /// Longest time without the task.
    max_rest: Duration,
    next: Option<Instant>,
}

impl Throttle {
    /// A task that rests for `rests` times as long as it ran, and for `most` at the most.
    pub fn new(rest_factor: u32, max_rest: Duration) -> Self {
        Self {
            rest_factor,
            max_rest,
            next: None,
        }
    }

    /// Whether the task may run.
    pub fn due(&self, now: Instant) -> bool {
        self.next.is_none_or(|next| now >= next)
    }

    /// The task ran from `begun` to `ended`.
    pub fn record_run(&mut self, begun: Instant, ended: Instant) {
        let rest = (ended - begun).saturating_mul(self.rest_factor);
        self.next = Some(ended + rest.min(self.max_rest));
    }
}
