//! Settings of the membership protocol.

use std::time::Duration;

/// Largest number of nodes of a small group.
pub const SMALL_GROUP_NODES: usize = 32;

/// Times and bounds of the membership protocol. The figures in the documentation hold for the defaults.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Time between two rounds; in each, one peer is probed and digests are exchanged with it. Half of it
    /// applies in a small group.
    pub probe_interval: Duration,
    /// Time between two exchanges of a node that knows no peer or has recently started. Short, because
    /// until it knows the other nodes, it takes the load that it sees for the whole load.
    pub startup_exchange_interval: Duration,
    /// Time after its start during which a node counts as recently started.
    pub startup_period: Duration,
    /// Time without a new peer after which a recently started node takes its roster for complete.
    pub settle_time: Duration,
    /// Time without an answer to a direct probe after which indirect probes are requested.
    pub direct_probe_timeout: Duration,
    /// Time without an answer, direct or indirect, after which the probed peer is suspected.
    pub probe_timeout: Duration,
    /// Time for a suspected peer to refute, in a group of up to 10 nodes; it grows with the logarithm of
    /// the number of nodes.
    pub suspicion_timeout: Duration,
    /// Time between two ticks above which this process counts as having been paused.
    pub pause_threshold: Duration,
    /// Time after which a peer that is neither listed nor reachable is removed.
    pub unlisted_retention: Duration,
    /// Time for which a removed run of a peer is remembered, so that a delayed update does not restore it.
    pub tombstone_retention: Duration,
    /// Number of peers that are asked to probe an unresponsive one.
    pub indirect_probers: usize,
    /// Number of peers to which each node that learns an urgent item forwards it.
    pub fanout: usize,
    /// Largest number of updates in one message.
    pub max_updates: usize,
    /// Largest size of the items in one answer of an exchange, in estimated bytes.
    pub max_delta_bytes: usize,
    /// Largest number of rows of the roster in one answer of an exchange.
    pub max_delta_rows: usize,
    /// Largest number of items stored per origin.
    pub max_items_per_origin: usize,
    /// Largest number of rows in the roster.
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
    /// Returns the time that a suspected peer has to refute in a group of `peers` nodes. The suspicion and
    /// its refutation each spread in a number of rounds that grows with the logarithm of that number.
    pub fn suspicion_timeout(&self, peers: usize) -> Duration {
        let scale = (peers.max(2) as f64).log10().max(1.0);
        self.suspicion_timeout.mul_f64(scale)
    }

    /// Returns the time between two rounds in a group of `peers` nodes. Small groups can afford twice as
    /// many rounds, which halves the time until a demand counts on all nodes.
    pub fn probe_interval(&self, peers: usize) -> Duration {
        match peers <= SMALL_GROUP_NODES {
            true => self.probe_interval / 2,
            false => self.probe_interval,
        }
    }

    /// Returns the time until the next exchange of digests in a group of `peers` nodes, `age` after the
    /// start. Recently started nodes exchange with every tick, since callers that lost their connections
    /// reconnect within a second.
    pub fn exchange_interval(&self, peers: usize, age: Duration) -> Duration {
        let usual = self.probe_interval(peers);
        match peers <= 1 || age < self.startup_period {
            true => self.startup_exchange_interval.min(usual),
            false => usual,
        }
    }

    /// Returns how many times a node sends an update in a group of `peers` nodes.
    pub fn update_transmissions(&self, peers: usize) -> u32 {
        3 * (usize::BITS - peers.leading_zeros()).max(1)
    }
}
