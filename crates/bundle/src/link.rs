//! Links between availability zones.

use crate::id::ZoneId;
use std::time::Duration;

/// A bidirectional link between two availability zones.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Link {
    /// One end.
    pub a: ZoneId,
    /// The other end; the same as `a` for the link within an availability zone.
    pub b: ZoneId,
    /// One-way latency.
    pub latency: Duration,
    /// Bandwidth: number of tokens per second whose activations the link can carry.
    pub tokens_per_second: f64,
}
