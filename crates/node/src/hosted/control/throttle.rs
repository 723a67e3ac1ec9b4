//! Bounds the fraction of control's time that a recurring task takes.
//!
//! The cost of planning layers and of publishing a view grows with the number of endpoints. With
//! 3,000 endpoints and both done in each step, they use the whole processor of a small node: its
//! reads of the store and of its peers time out, and it serves requests by an old catalog.

use std::time::Duration;
use tokio::time::Instant;

/// Decides when a task may run again.
#[derive(Clone, Debug)]
pub struct Throttle {
    /// Pause after each run, as a multiple of the duration of that run.
    rest_factor: u32,
    /// Upper bound of the pause.
    max_rest: Duration,
    next: Option<Instant>,
}

impl Throttle {
    /// Creates a throttle that pauses for `rest_factor` times the duration of a run, but for at
    /// most `max_rest`.
    pub fn new(rest_factor: u32, max_rest: Duration) -> Self {
        Self {
            rest_factor,
            max_rest,
            next: None,
        }
    }

    /// Returns whether the task may run now.
    pub fn due(&self, now: Instant) -> bool {
        self.next.is_none_or(|next| now >= next)
    }

    /// Records that the task ran from `begun` to `ended`.
    pub fn record_run(&mut self, begun: Instant, ended: Instant) {
        let rest = (ended - begun).saturating_mul(self.rest_factor);
        self.next = Some(ended + rest.min(self.max_rest));
    }
}
