//! Retry budget: limits retries to a fraction of the requests, over all nodes.
//!
//! Without a limit, after the loss of a zone every node would send each request several times to
//! the remaining endpoints. The limit holds over all nodes: each node takes an even share of the
//! fixed part, and the part proportional to the requests counts this node's own requests.

use crate::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Number of slots in the window; requests and retries are counted per slot.
const WINDOW_SLOTS: u32 = 10;

/// Retries that the operator allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Allowed retries per request.
    pub ratio: f64,
    /// Allowed retries per window in addition to `ratio`, over all nodes.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// Usable fraction of the allowance. The rest covers nodes that restart without knowing what they
/// used before, and the granularity of the slots. With 0.6, 67 nodes refuse 900 of 8,000 requests
/// while endpoints crash, although two fifths of the allowance remain unused.
const USABLE_FRACTION: f64 = 0.8;

/// Maximum number of retries from the fixed part in a node's first window. A recently started node
/// knows few of the others: after the loss of many nodes at once, each would take the whole fixed
/// part, and 84 nodes would together exceed the allowance. With 2, 67 nodes that used up their
/// shares and restarted stay within it.
const MAX_STARTUP_RETRIES: f64 = 2.0;

/// Fraction of the usable allowance that is reserved for responses in progress.
const RESUMPTION_FRACTION: f64 = 0.1;

/// What a retry is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// A request that no endpoint has answered yet. It can still be refused with an honest status.
    Answer,
    /// A response in progress, which is cut off without the retry.
    Resumption,
}

impl Purpose {
    /// Returns the fraction of the usable allowance that such retries may use.
    fn fraction(self) -> f64 {
        match self {
            Self::Answer => 1.0 - RESUMPTION_FRACTION,
            Self::Resumption => 1.0,
        }
    }
}

/// Counts of one slot.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    slot: u64,
    requests: u64,
    retries: u64,
}

/// Retry budget of one service at one worker.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    counts: VecDeque<Count>,
}

impl Budget {
    /// Records the first attempt of a request.
    pub fn record_request(&mut self, now: Timestamp, allowance: &Allowance) {
        self.current_slot(now, allowance).requests += 1;
    }

    /// Takes one retry from the budget; returns whether one was left for this node.
    pub fn try_retry(
        &mut self,
        now: Timestamp,
        allowance: &Allowance,
        nodes: usize,
        purpose: Purpose,
    ) -> bool {
        let granted = self.can_retry(now, allowance, nodes, purpose);
        if granted {
            self.current_slot(now, allowance).retries += 1;
        }
        granted
    }

    /// Returns whether the budget has a retry left for this node.
    pub fn can_retry(
        &mut self,
        now: Timestamp,
        allowance: &Allowance,
        nodes: usize,
        purpose: Purpose,
    ) -> bool {
        self.current_slot(now, allowance);
        let requests: u64 = self.counts.iter().map(|c| c.requests).sum();
        let retries: u64 = self.counts.iter().map(|c| c.retries).sum();
        let slack = match now < allowance.window {
            true => (allowance.slack / nodes.max(1) as f64).min(MAX_STARTUP_RETRIES),
            false => allowance.slack / nodes.max(1) as f64,
        };
        let usable = USABLE_FRACTION * (allowance.ratio * requests as f64 + slack);
        // A small allowance has room for one retry of either kind.
        let limit = (usable * purpose.fraction()).max(usable.min(1.0));
        (retries + 1) as f64 <= limit
    }

    fn current_slot(&mut self, now: Timestamp, allowance: &Allowance) -> &mut Count {
        let step = (allowance.window / WINDOW_SLOTS).max(Duration::from_millis(1));
        let slot = (now.as_micros() / step.as_micros().max(1)) as u64;
        // One slot more than the window, so that a window that begins inside a slot is covered.
        let oldest = slot.saturating_sub(u64::from(WINDOW_SLOTS));
        while self.counts.front().is_some_and(|c| c.slot < oldest) {
            self.counts.pop_front();
        }
        if self.counts.back().is_none_or(|c| c.slot < slot) {
            self.counts.push_back(Count {
                slot,
                ..Count::default()
            });
        }
        let last = self.counts.len() - 1;
        &mut self.counts[last]
    }
}
