//! Limit on the prefill that overtakes long prompts at one endpoint.

use super::Policy;
use crate::Timestamp;

/// Fraction of an endpoint's time that prefill which overtakes long prompts may take, by all nodes
/// together. A long prompt then takes a third longer on average than without being overtaken, whatever
/// the load. Without a limit, single long prompts among 600 short ones per second wait for
/// 1.1 s for their first event in the simulation of `tests/prompts.rs`, and with this one 0.33 s.
const MAX_FRACTION: f64 = 0.25;
/// Fraction of the latency target over which the limit is averaged, times the square root of the
/// number of nodes: the parts of many nodes are smaller than single prompts, and what the nodes send
/// beyond their parts at a time averages out by that factor.
const WINDOW_FRACTION: f64 = 0.2;
/// Number of nodes beyond which the window does not grow, so that a long prompt that waits for a whole
/// window still meets its target.
const MAX_WINDOW_NODES: f64 = 100.0;

/// What this worker may still send to one endpoint ahead of long prompts.
#[derive(Clone, Copy, Debug, Default)]
pub struct Overtaking {
    /// Prefill beyond the limit, in seconds; negative while there is some left.
    excess_secs: f64,
    updated_at: Timestamp,
}

impl Overtaking {
    /// Records prefill of `secs` seconds that overtakes long prompts.
    pub fn record(&mut self, now: Timestamp, policy: &Policy, nodes: f64, secs: f64) {
        self.excess_secs = self.excess_at(now, policy, nodes) + secs;
        self.updated_at = now;
    }

    /// Returns the prefill beyond the limit now, in seconds: each of `nodes` nodes has an equal part
    /// of the limit. A prompt may overtake long ones if the sum over its stages is negative, since
    /// long prompts pass as many stages.
    pub fn excess_at(&self, now: Timestamp, policy: &Policy, nodes: f64) -> f64 {
        let part = MAX_FRACTION / nodes.max(1.0);
        let scale = nodes.clamp(1.0, MAX_WINDOW_NODES).sqrt();
        let window = policy.latency_target.as_secs_f64() * WINDOW_FRACTION * scale;
        let passed = now.saturating_sub(self.updated_at).as_secs_f64();
        (self.excess_secs - part * passed).max(-part * window)
    }
}
