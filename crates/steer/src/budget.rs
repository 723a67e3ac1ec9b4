//! Attempts beyond the first, bounded by a part of the first ones over all nodes.
//!
//! Without a bound a lost zone makes every node send each request several times into what is
//! left. The bound holds over all nodes: each takes its even share of the fixed part, and the
//! part that grows with the requests grows with this node's own.

use crate::Now;
use std::collections::VecDeque;
use std::time::Duration;

/// Slots into which the window is cut; requests are counted by slot.
const SLOTS: u32 = 10;

/// What the operator allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Further attempts for each first one.
    pub ratio: f64,
    /// Further attempts in a window beside these, over all nodes.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

/// Part of the allowance that is used. The rest covers nodes that start anew and do not know what they
/// used before, and the edges of the window. With 0.6, 67 nodes refused 900 of 8,000 requests on a
/// day with crashes while two fifths of what is allowed were kept back.
const USED: f64 = 0.8;

/// Further attempts of the fixed part that a node takes in its first window at the most. It knows
/// few of the others then: after a loss of many nodes at once each took the whole fixed part for
/// its own, and 84 of them went over what is allowed together. With 2, all of 67 nodes that used up
/// their parts and started anew stay within it (worked out, and a test).
const YOUNG: f64 = 2.0;

/// Counts of one slot.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    slot: u64,
    first: u64,
    further: u64,
}

/// The budget of one service at one worker.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    counts: VecDeque<Count>,
}

impl Budget {
    /// A first attempt was made.
    pub fn first(&mut self, now: Now, allowance: &Allowance) {
        self.at(now, allowance).first += 1;
    }

    /// Takes one further attempt, if the window has one left for this node.
    pub fn take(&mut self, now: Now, allowance: &Allowance, nodes: usize) -> bool {
        let left = self.left(now, allowance, nodes);
        if left {
            self.at(now, allowance).further += 1;
        }
        left
    }

    /// Whether the window has a further attempt left for this node.
    pub fn left(&mut self, now: Now, allowance: &Allowance, nodes: usize) -> bool {
        self.at(now, allowance);
        let first: u64 = self.counts.iter().map(|c| c.first).sum();
        let further: u64 = self.counts.iter().map(|c| c.further).sum();
        let slack = match now < allowance.window {
            true => (allowance.slack / nodes.max(1) as f64).min(YOUNG),
            false => allowance.slack / nodes.max(1) as f64,
        };
        let most = USED * (allowance.ratio * first as f64 + slack);
        (further + 1) as f64 <= most
    }

    fn at(&mut self, now: Now, allowance: &Allowance) -> &mut Count {
        let step = (allowance.window / SLOTS).max(Duration::from_millis(1));
        let slot = (now.as_micros() / step.as_micros().max(1)) as u64;
        // One slot more than the window, so that a window that begins inside a slot is covered.
        let old = slot.saturating_sub(u64::from(SLOTS));
        while self.counts.front().is_some_and(|c| c.slot < old) {
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
