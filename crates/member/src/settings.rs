//! Settings of membership.

use std::time::Duration;

/// Nodes up to which a group is small.
pub const SMALL_GROUP_NODES: usize = 32;

/// Times and bounds. The defaults are those that the figures in the docs were measured with.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// One peer is probed, and digests are exchanged with it, per round; half of it in a small
    /// group.
    pub probe_interval: Duration,
    /// Time between two exchanges of a node that knows nobody or has just started: until it knows the
    /// others, it takes what it sees of the load for all that there is.
    pub startup_exchange_interval: Duration,
    /// How long a node has just started.
    pub startup_period: Duration,
    /// Time without a new peer after which a node that has just started takes those that it knows for
    /// all that there are.
    pub settle_time: Duration,
    /// How long a probe may take before others are asked to probe.
    pub direct_probe_timeout: Duration,
    /// How long a probe may take in all before the peer is suspected.
    pub probe_timeout: Duration,
    /// How long a suspected peer may take to refute; grows with the logarithm of the group.
    pub suspicion_timeout: Duration,
    /// A gap between two ticks above this means that this process was paused.
    pub pause_threshold: Duration,
    /// How long a peer that is neither listed nor reachable is kept.
    pub unlisted_retention: Duration,
    /// How long a removed run of a peer is remembered, so that late news do not bring it back.
    pub tombstone_retention: Duration,
    /// Helpers asked to probe.
    pub indirect_probers: usize,
    /// Peers that an urgent item is sent to by each node that learns it.
    pub fanout: usize,
    /// News in one message at most.
    pub max_updates: usize,
    /// Bytes of items in one answer of an exchange at most, as an estimate.
    pub max_delta_bytes: usize,
    /// Rows of the roster in one answer of an exchange at most.
    pub max_delta_rows: usize,
    /// Items stored per origin at most.
    pub max_items_per_origin: usize,
    /// Peers at most.
    pub max_peers: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_secs(1),
            startup_exchange_interval: Duration::from_millis(100),
            startup_period: Duration::from_secs(2),
            settle_time: Duration::from_millis(500),
            direct_probe_timeout: Duration::from_millis(300),
            probe_timeout: Duration::from_millis(900),
            suspicion_timeout: Duration::from_secs(3),
            pause_threshold: Duration::from_millis(700),
            unlisted_retention: Duration::from_secs(60),
            tombstone_retention: Duration::from_secs(600),
            indirect_probers: 3,
            fanout: 4,
            max_updates: 24,
            max_delta_bytes: 12_000,
            max_delta_rows: 128,
            max_items_per_origin: 2_048,
            max_peers: 4_096,
        }
    }
}

impl Settings {
    /// How long a suspicion lasts in a group of `peers`: rumours need a number of rounds that
    /// grows with the logarithm of the group, there and back.
    pub fn suspicion_timeout(&self, peers: usize) -> Duration {
        let scale = (peers.max(2) as f64).log10().max(1.0);
        self.suspicion_timeout.mul_f64(scale)
    }

    /// Time between two rounds among `peers`: small groups can afford twice as many, which halves
    /// the time until a demand counts everywhere.
    pub fn probe_interval(&self, peers: usize) -> Duration {
        match peers <= SMALL_GROUP_NODES {
            true => self.probe_interval / 2,
            false => self.probe_interval,
        }
    }

    /// Time until the next exchange of digests among `peers`, `age` after the start. Nodes that have
    /// just started look for each other in each tick, since callers that were cut off are back within
    /// a second.
    pub fn exchange_interval(&self, peers: usize, age: Duration) -> Duration {
        let usual = self.probe_interval(peers);
        match peers <= 1 || age < self.startup_period {
            true => self.startup_exchange_interval.min(usual),
            false => usual,
        }
    }

    /// How often a piece of news is passed on by a node.
    pub fn update_transmissions(&self, peers: usize) -> u32 {
        3 * (usize::BITS - peers.leading_zeros()).max(1)
    }
}
