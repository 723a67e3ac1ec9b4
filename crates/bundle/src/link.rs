//! Links between availability zones.

use crate::id::ZoneId;
use std::time::Duration;

/// A link from one availability zone to another, both ways.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Link {
    /// One end.
    pub a: ZoneId,
    /// The other end; the same as `a` for the link within an availability zone.
    pub b: ZoneId,
    /// One-way latency.
    pub latency: Duration,
    /// Tokens' activations it carries per second.
    pub tokens_per_second: f64,
}
