//! What nodes tell each other about the world.

use crate::identity::{Id, Incarnation};
use crate::level::Level;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Number of a publication within one run of its origin, from 1.
pub type Version = u32;
/// Hash of a team's name. Two teams with the same hash have their demands added up, which makes
/// their shares smaller and never larger.
pub type Team = u32;
/// Hash of a request's content.
pub type Fingerprint = u64;

/// The key of the team named `name`.
pub fn team(name: &str) -> Team {
    xxh3_64(name.as_bytes()) as u32
}

/// What an item is about; a later item of the same origin and key replaces an earlier one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Key {
    /// The origin takes no new work.
    Leaving,
    /// Load of the origin.
    Load,
    /// The origin's callers' listener.
    Callers,
    /// An endpoint, by name.
    Endpoint(String),
    /// An endpoint that is about to give up layers, by name.
    Releasing(String),
    /// A fingerprint in flight at an endpoint's death.
    Suspect(Fingerprint),
    /// A fingerprint on which a verdict is awaited.
    Pending(Fingerprint),
    /// A fingerprint that crashes endpoints.
    Condemned(Fingerprint),
    /// Demand of a team at the origin.
    Demand(Team),
}

/// One observation.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// The origin takes no new work.
    Leaving,
    /// Load of the origin as a fraction of what it can carry.
    Load(Level),
    /// Where the origin serves callers.
    Callers {
        /// Address as callers reach it.
        addr: SocketAddr,
        /// Whether it speaks TLS.
        tls: bool,
    },
    /// The origin ejected an endpoint, or took it back.
    Endpoint {
        /// Name of the endpoint.
        name: String,
        /// Whether it is ejected.
        ejected: bool,
        /// How long this counts.
        ttl: Duration,
    },
    /// The origin is about to order an endpoint to release its layers and load others.
    Releasing {
        /// Name of the endpoint.
        name: String,
        /// How long this counts.
        ttl: Duration,
    },
    /// A request with this fingerprint was in flight when an endpoint died.
    Suspect {
        /// Hash of the request.
        fingerprint: Fingerprint,
        /// How long this counts.
        ttl: Duration,
    },
    /// A request with this fingerprint was alone on an endpoint that died; a verdict is awaited.
    Pending {
        /// Hash of the request.
        fingerprint: Fingerprint,
        /// How long this counts.
        ttl: Duration,
    },
    /// Requests with this fingerprint crash endpoints and are refused.
    Condemned {
        /// Hash of the request.
        fingerprint: Fingerprint,
        /// How long this counts.
        ttl: Duration,
    },
    /// What callers of a team ask of the origin.
    Demand {
        /// The team.
        team: Team,
        /// Requests per second.
        rate: Level,
        /// Requests in flight.
        in_flight: Level,
    },
}

impl Observation {
    /// What it is about.
    pub fn key(&self) -> Key {
        match self {
            Self::Leaving => Key::Leaving,
            Self::Load(_) => Key::Load,
            Self::Callers { .. } => Key::Callers,
            Self::Endpoint { name, .. } => Key::Endpoint(name.clone()),
            Self::Releasing { name, .. } => Key::Releasing(name.clone()),
            Self::Suspect { fingerprint, .. } => Key::Suspect(*fingerprint),
            Self::Pending { fingerprint, .. } => Key::Pending(*fingerprint),
            Self::Condemned { fingerprint, .. } => Key::Condemned(*fingerprint),
            Self::Demand { team, .. } => Key::Demand(*team),
        }
    }

    /// How long it counts; nothing if until its origin goes.
    pub fn ttl(&self) -> Option<Duration> {
        match self {
            Self::Endpoint { ttl, .. }
            | Self::Releasing { ttl, .. }
            | Self::Suspect { ttl, .. }
            | Self::Pending { ttl, .. }
            | Self::Condemned { ttl, .. } => Some(*ttl),
            _ => None,
        }
    }

    /// The same with another time to count.
    pub fn with_ttl(mut self, left: Duration) -> Self {
        match &mut self {
            Self::Endpoint { ttl, .. }
            | Self::Releasing { ttl, .. }
            | Self::Suspect { ttl, .. }
            | Self::Pending { ttl, .. }
            | Self::Condemned { ttl, .. } => *ttl = left,
            _ => {}
        }
        self
    }

    /// Whether it is sent on at once and not only by the next exchange. Demand and load change
    /// all the time, and their readers allow for a delay.
    pub fn urgent(&self) -> bool {
        !matches!(self, Self::Load(_) | Self::Demand { .. })
    }
}

/// An observation of one node.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    /// The node that published it.
    pub origin: Id,
    /// The run of that node.
    pub incarnation: Incarnation,
    /// Number of the publication; items that were published together share it.
    pub version: Version,
    /// The observation.
    pub body: Observation,
}

impl fmt::Display for Observation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Leaving => write!(f, "leaving"),
            Self::Load(level) => write!(f, "load {level}"),
            Self::Callers { addr, tls } => write!(f, "callers {addr} tls={tls}"),
            Self::Endpoint { name, ejected, ttl } => {
                write!(f, "endpoint {name} ejected={ejected} for {ttl:?}")
            }
            Self::Releasing { name, ttl } => write!(f, "moving {name} for {ttl:?}"),
            Self::Suspect { fingerprint, ttl } => write!(f, "suspect {fingerprint:x} for {ttl:?}"),
            Self::Pending { fingerprint, ttl } => write!(f, "pending {fingerprint:x} for {ttl:?}"),
            Self::Condemned { fingerprint, ttl } => {
                write!(f, "condemned {fingerprint:x} for {ttl:?}")
            }
            Self::Demand {
                team,
                rate,
                in_flight,
            } => {
                write!(f, "demand {team:x} rate {rate} in-flight {in_flight}")
            }
        }
    }
}

impl fmt::Display for Item {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x} v{} {}", self.origin, self.version, self.body)
    }
}
