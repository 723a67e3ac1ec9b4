//! Counters of one group.

/// What happened so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Probes sent.
    pub probes: u64,
    /// Probes that were answered.
    pub acks: u64,
    /// Probes that others were asked for.
    pub relays: u64,
    /// Peers that this node was the first here to suspect.
    pub suspected: u64,
    /// Suspicions of this node that it refuted.
    pub refuted: u64,
    /// Peers judged dead.
    pub dead: u64,
    /// Peers judged parted.
    pub parted: u64,
    /// Peers that came back after that.
    pub returned: u64,
    /// Pauses of this process.
    pub pauses: u64,
    /// Messages of an older run, or from a removed peer.
    pub stale: u64,
    /// Exchanges whose rosters differed.
    pub differing: u64,
    /// Items learned.
    pub learned: u64,
    /// Items that did not fit the bounds.
    pub dropped: u64,
}
