//! Counters of a group.

/// Number of occurrences since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Direct probes sent.
    pub probes: u64,
    /// Direct probes that were acknowledged.
    pub acks: u64,
    /// Indirect probes that were requested of other nodes.
    pub relays: u64,
    /// Peers that this node suspected because its own probe failed.
    pub suspected: u64,
    /// Suspicions of this node that it refuted.
    pub refuted: u64,
    /// Peers judged dead.
    pub dead: u64,
    /// Peers judged parted.
    pub parted: u64,
    /// Dead or parted peers that were found up again.
    pub returned: u64,
    /// Pauses of this process.
    pub pauses: u64,
    /// Messages or items discarded because they are of an old run, of a removed peer or invalid.
    pub stale: u64,
    /// Digests answered with rows, because the rosters of a bucket differed.
    pub differing: u64,
    /// Items of peers stored.
    pub learned: u64,
    /// Items, peers and indirect probes discarded because a bound was reached.
    pub dropped: u64,
}
