//! Progress of a roll.

use bundle::id::{Number, ZoneId};
use std::fmt;

/// Phase of a roll.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// Every endpoint that is up holds what the bundle assigns to it.
    #[default]
    Settled,
    /// Endpoints in this availability zone are loading.
    Rolling(ZoneId),
    /// The next loads wait for the rate of the weight store, for loads in another zone, or for the
    /// watch of new replicas to end.
    Waiting,
    /// The endpoint with this name can't load, since a model would lose its last ready replica.
    Blocked(String),
    /// New replicas of this bundle failed. Only a newer bundle resumes the roll.
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
