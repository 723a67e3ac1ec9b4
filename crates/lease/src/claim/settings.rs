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
    pub started_at: WallTime,
    /// Largest error of any node's or caller's wall clock.
    pub max_clock_error: Duration,
    /// How long a key is good after its date.
    pub key_lifetime: Duration,
    /// Most keys remembered per shard; beyond it the oldest go and the floor rises.
    pub max_keys: usize,
    /// Bytes of ended runs' answers that are kept for resends.
    pub max_answer_bytes: usize,
    /// Least time between two appends to one shard.
    pub append_interval: Duration,
    /// How long an outcome waits for a claim to travel with.
    pub linger: Duration,
    /// Least wait after a failed call.
    pub min_backoff: Duration,
    /// Longest wait after a failed call.
    pub max_backoff: Duration,
    /// A shard in which nothing was appended for this long gets a mark.
    pub heartbeat_interval: Duration,
    /// A shard that is not the node's own is dropped after this long without use.
    pub idle_timeout: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            shards: 16,
            started_at: Duration::ZERO,
            max_clock_error: Duration::from_secs(2),
            key_lifetime: Duration::from_secs(3600),
            max_keys: 65_536,
            max_answer_bytes: 8 << 20,
            append_interval: Duration::from_millis(100),
            linger: Duration::from_millis(500),
            min_backoff: Duration::from_millis(50),
            max_backoff: Duration::from_secs(2),
            heartbeat_interval: Duration::from_secs(600),
            idle_timeout: Duration::from_secs(300),
        }
    }
}
