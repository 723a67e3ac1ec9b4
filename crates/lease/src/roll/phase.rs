//! How far a roll is.

use bundle::id::{Number, ZoneId};
use std::fmt;

/// A phase.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// Every endpoint that is there holds what the bundle wants.
    #[default]
    Settled,
    /// Endpoints of this availability zone load.
    Rolling(ZoneId),
    /// The weight store's rate, the watch over a zone's new replicas or old requests hold it up.
    Waiting,
    /// The endpoint named can't be taken without a model losing its last ready replica.
    Blocked(String),
    /// New replicas failed; only a newer bundle goes on.
    Stopped(Number),
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Settled => f.write_str("settled"),
            Self::Rolling(zone) => write!(f, "rolling zone {zone}"),
            Self::Waiting => f.write_str("waiting"),
            Self::Blocked(name) => write!(f, "blocked at {name}: last ready replica"),
            Self::Stopped(number) => write!(f, "stopped: new replicas of bundle {number} failed"),
        }
    }
}
