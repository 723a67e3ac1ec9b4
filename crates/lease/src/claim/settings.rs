//! Settings of a claim table.

use crate::WallTime;
use crate::claim::Shard;
use std::time::Duration;

/// Settings of a claim table.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Number of shards. Must be the same on all nodes and must never change.
    pub shards: Shard,
    /// Wall-clock time of the start of the process.
    pub started_at: WallTime,
    /// Maximum error of the wall clock of any node or caller.
    pub max_clock_error: Duration,
    /// Time from a key's date during which the key is valid.
    pub key_lifetime: Duration,
    /// Maximum number of keys kept per shard. Beyond it the oldest keys are evicted, which raises
    /// the date before which keys are refused as expired.
    pub max_keys: usize,
    /// Maximum total size in bytes of the answers cached for retries with the same key.
    pub max_answer_bytes: usize,
    /// Minimum time between two appends to a shard.
    pub append_interval: Duration,
    /// How long an outcome may wait to be appended together with a claim.
    pub linger: Duration,
    /// Minimum backoff after a failed call.
    pub min_backoff: Duration,
    /// Maximum backoff after a failed call.
    pub max_backoff: Duration,
    /// Time without records in a shard's stream after which its home appends a heartbeat record.
    pub heartbeat_interval: Duration,
    /// Time without use after which a node stops following a shard that it is not the home of.
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
