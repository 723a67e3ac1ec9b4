//! Settings of membership.

use std::time::Duration;

/// Nodes up to which a group is small.
pub const SMALL: usize = 32;

/// Times and bounds. The defaults are those that the figures in the docs were measured with.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// One peer is probed, and digests are exchanged with it, per round; half of it in a small
    /// group.
    pub round: Duration,
    /// Time between two exchanges of a node that knows nobody or has just started: until it knows the
    /// others, it takes what it sees of the load for all that there is.
    pub join: Duration,
    /// How long a node has just started.
    pub young: Duration,
    /// Time without a new peer after which a node that has just started takes those that it knows for
    /// all that there are.
    pub settle: Duration,
    /// How long a probe may take before others are asked to probe.
    pub direct: Duration,
    /// How long a probe may take in all before the peer is suspected.
    pub probe: Duration,
    /// How long a suspected peer may take to refute; grows with the logarithm of the group.
    pub suspicion: Duration,
    /// A gap between two ticks above this means that this process was paused.
    pub pause: Duration,
    /// How long a peer that is neither listed nor reachable is kept.
    pub keep: Duration,
    /// How long a removed run of a peer is remembered, so that late news do not bring it back.
    pub bury: Duration,
    /// Helpers asked to probe.
    pub helpers: usize,
    /// Peers that an urgent item is sent to by each node that learns it.
    pub fanout: usize,
    /// News in one message at most.
    pub news: usize,
    /// Bytes of items in one answer of an exchange at most, as an estimate.
    pub delta: usize,
    /// Rows of the roster in one answer of an exchange at most.
    pub rows: usize,
    /// Items stored per origin at most.
    pub items: usize,
    /// Peers at most.
    pub peers: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            round: Duration::from_secs(1),
            join: Duration::from_millis(100),
            young: Duration::from_secs(2),
            settle: Duration::from_millis(500),
            direct: Duration::from_millis(300),
            probe: Duration::from_millis(900),
            suspicion: Duration::from_secs(3),
            pause: Duration::from_millis(700),
            keep: Duration::from_secs(60),
            bury: Duration::from_secs(600),
            helpers: 3,
            fanout: 4,
            news: 24,
            delta: 12_000,
            rows: 128,
            items: 2_048,
            peers: 4_096,
        }
    }
}

impl Settings {
    /// How long a suspicion lasts in a group of `peers`: rumours need a number of rounds that
    /// grows with the logarithm of the group, there and back.
    pub fn suspicion(&self, peers: usize) -> Duration {
        let scale = (peers.max(2) as f64).log10().max(1.0);
        self.suspicion.mul_f64(scale)
    }

    /// Time between two rounds among `peers`: small groups can afford twice as many, which halves
    /// the time until a demand counts everywhere.
    pub fn round(&self, peers: usize) -> Duration {
        match peers <= SMALL {
            true => self.round / 2,
            false => self.round,
        }
    }

    /// Time until the next exchange of digests among `peers`, `age` after the start. Nodes that have
    /// just started look for each other in each tick, since callers that were cut off are back within
    /// a second.
    pub fn exchange(&self, peers: usize, age: Duration) -> Duration {
        let usual = self.round(peers);
        match peers <= 1 || age < self.young {
            true => self.join.min(usual),
            false => usual,
        }
    }

    /// How often a piece of news is passed on by a node.
    pub fn repeats(&self, peers: usize) -> u32 {
        3 * (usize::BITS - peers.leading_zeros()).max(1)
    }
}
