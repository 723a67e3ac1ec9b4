//! Prefill that a worker has in progress at one endpoint.

use crate::Timestamp;
use crate::target::ReservationId;
use std::time::Duration;

/// Maximum number of prompts that are kept for an endpoint. Above it, the one that began first is
/// dropped, since it has the least left.
const MAX_PROMPTS: usize = 64;
/// Fraction of a prompt's prefill that counts as left once its first event is overdue: it is still
/// in progress at one of the stages, of which a chain has about ten.
const OVERDUE_FRACTION: f64 = 0.1;
/// Time after which a prompt is dropped in any case: the longest time that callers wait. An attempt
/// that gave up a stage does not end its prefill there.
const MAX_AGE: Duration = Duration::from_secs(20);

/// Prefill of one prompt at one endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prompt {
    /// Attempt that the prompt belongs to.
    pub attempt: ReservationId,
    /// Time that the endpoint takes for the layers of the stage, in seconds.
    pub secs: f64,
    /// When the attempt was dispatched.
    pub began: Timestamp,
    /// Expected time from dispatch to the first event.
    pub expected: Duration,
}

impl Prompt {
    /// Returns the part that is left, in seconds. The prefill is assumed to progress evenly from
    /// the dispatch to the first event, since a node learns nothing in between.
    fn remaining_secs(&self, now: Timestamp) -> f64 {
        let age = now.saturating_sub(self.began);
        if age >= MAX_AGE {
            return 0.0;
        }
        let done = age.as_secs_f64() / self.expected.as_secs_f64().max(1e-9);
        self.secs * (1.0 - done).max(OVERDUE_FRACTION)
    }
}

/// Prompts of one worker whose prefill is in progress at one endpoint.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    prompts: Vec<Prompt>,
}

impl Backlog {
    /// Records the dispatch of a prompt.
    pub fn begin(&mut self, prompt: Prompt) {
        let now = prompt.began;
        self.prompts
            .retain(|p| now.saturating_sub(p.began) < MAX_AGE);
        if self.prompts.len() >= MAX_PROMPTS {
            self.prompts.remove(0);
        }
        self.prompts.push(prompt);
    }

    /// Ends the prefill of an attempt, at its first event or with the attempt.
    pub fn end(&mut self, attempt: ReservationId) -> Option<Prompt> {
        let at = self.prompts.iter().position(|p| p.attempt == attempt)?;
        Some(self.prompts.remove(at))
    }

    /// Returns the prefill that is left, in seconds.
    pub fn remaining_secs(&self, now: Timestamp) -> f64 {
        self.prompts.iter().map(|p| p.remaining_secs(now)).sum()
    }

    /// Returns the prompts, in the order of their dispatch.
    pub fn prompts(&self) -> &[Prompt] {
        &self.prompts
    }
}
