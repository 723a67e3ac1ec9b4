//! Settings of a claim table.

use crate::WallTime;
use crate::claim::Shard;
use std::time::Duration;

/// Settings.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Number of shards, the same on all nodes for good.
    pub shards: Shard,
    /// WallTime clock at the process's start.
    pub start: WallTime,
    /// Largest error of any node's or caller's wall clock.
    pub skew: Duration,
    /// How long a key is good after its date.
    pub window: Duration,
    /// Most keys remembered per shard; beyond it the oldest go and the floor rises.
    pub keys: usize,
    /// Bytes of ended runs' answers that are kept for resends.
    pub answers: usize,
    /// Least time between two appends to one shard.
    pub pace: Duration,
    /// How long an outcome waits for a claim to travel with.
    pub linger: Duration,
    /// Least wait after a failed call.
    pub retry: Duration,
    /// Longest wait after a failed call.
    pub retry_most: Duration,
    /// A shard in which nothing was appended for this long gets a mark.
    pub mark: Duration,
    /// A shard that is not the node's own is dropped after this long without use.
    pub idle: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            shards: 16,
            start: Duration::ZERO,
            skew: Duration::from_secs(2),
            window: Duration::from_secs(3600),
            keys: 65_536,
            answers: 8 << 20,
            pace: Duration::from_millis(100),
            linger: Duration::from_millis(500),
            retry: Duration::from_millis(50),
            retry_most: Duration::from_secs(2),
            mark: Duration::from_secs(600),
            idle: Duration::from_secs(300),
        }
    }
}
