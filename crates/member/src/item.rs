//! Items: observations that nodes publish to each other.

use crate::identity::{Id, Incarnation};
use crate::level::Level;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Number of a publication within one run of its origin, starting at 1.
pub type Version = u32;
/// Hash of a team's name. The demands of two teams with the same hash are added up, which can only
/// reduce their shares.
pub type Team = u32;
/// Hash of a request's content.
pub type Fingerprint = u64;

/// Returns the key of the team named `name`.
pub fn team(name: &str) -> Team {
    xxh3_64(name.as_bytes()) as u32
}

/// Subject of an item. A later item of the same origin and key replaces an earlier one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Key {
    /// Exit of the origin.
    Leaving,
    /// Load of the origin.
    Load,
    /// Address on which the origin serves callers.
    Callers,
    /// An endpoint, by name.
    Endpoint(String),
    /// An endpoint that is about to release layers, by name.
    Releasing(String),
    /// A fingerprint that was in flight when an endpoint died.
    Suspect(Fingerprint),
    /// A fingerprint whose verdict is pending.
    Pending(Fingerprint),
    /// A fingerprint that crashes endpoints.
    Condemned(Fingerprint),
    /// A fingerprint whose request completed after it was in flight when an endpoint died.
    Cleared(Fingerprint),
    /// A service, by name, whose endpoints the origin may be isolated from.
    Isolated(String),
    /// An engine, by run, that the origin polls.
    Ended(String),
    /// Demand of a team at the origin.
    Demand(Team),
}

/// One observation.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// The origin accepts no new requests.
    Leaving,
    /// Load of the origin as a fraction of its capacity.
    Load(Level),
    /// The origin serves callers at an address.
    Callers {
        /// Address that callers connect to.
        addr: SocketAddr,
        /// Whether the listener uses TLS.
        tls: bool,
    },
    /// The origin ejected an endpoint, or ended its ejection.
    Endpoint {
        /// Name of the endpoint.
        name: String,
        /// Whether the endpoint is ejected.
        ejected: bool,
        /// Time until the observation expires.
        ttl: Duration,
    },
    /// The origin is about to order an endpoint to release its layers and load others.
    Releasing {
        /// Name of the endpoint.
        name: String,
        /// Time until the observation expires.
        ttl: Duration,
    },
    /// A request with this fingerprint was in flight when an endpoint died.
    Suspect {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// Time until the observation expires.
        ttl: Duration,
    },
    /// A request with this fingerprint was the only one on an endpoint that died, or was in flight at two
    /// deaths in a row; the verdict on it is pending.
    Pending {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// Time until the observation expires.
        ttl: Duration,
    },
    /// Requests with this fingerprint crash endpoints and are refused.
    Condemned {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// Time until the observation expires.
        ttl: Duration,
    },
    /// A request with this fingerprint completed; what was observed of it before no longer counts.
    Cleared {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// Time until the observation expires.
        ttl: Duration,
    },
    /// The origin reaches no endpoint of a service, or reaches one again.
    Isolated {
        /// Name of the service.
        service: String,
        /// Whether the origin is isolated from its endpoints.
        isolated: bool,
        /// Time until the observation expires.
        ttl: Duration,
    },
    /// Demand of a team at the origin.
    Demand {
        /// The team.
        team: Team,
        /// Requests per second.
        rate: Level,
        /// Requests in flight.
        in_flight: Level,
    },
    /// The run of an engine that the origin polls has ended, or is alive after all.
    Ended {
        /// The run, as text.
        name: String,
        /// Whether the run has ended.
        ended: bool,
        /// Time until the observation expires.
        ttl: Duration,
    },
}

impl Observation {
    /// Returns the subject of the observation.
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
            Self::Cleared { fingerprint, .. } => Key::Cleared(*fingerprint),
            Self::Isolated { service, .. } => Key::Isolated(service.clone()),
            Self::Demand { team, .. } => Key::Demand(*team),
            Self::Ended { name, .. } => Key::Ended(name.clone()),
        }
    }

    /// Returns the time until the observation expires; `None` if it is valid until its origin leaves.
    pub fn ttl(&self) -> Option<Duration> {
        match self {
            Self::Endpoint { ttl, .. }
            | Self::Releasing { ttl, .. }
            | Self::Suspect { ttl, .. }
            | Self::Pending { ttl, .. }
            | Self::Condemned { ttl, .. }
            | Self::Cleared { ttl, .. }
            | Self::Isolated { ttl, .. }
            | Self::Ended { ttl, .. } => Some(*ttl),
            _ => None,
        }
    }

    /// Returns the observation with another time to live, if it has one.
    pub fn with_ttl(mut self, new_ttl: Duration) -> Self {
        match &mut self {
            Self::Endpoint { ttl, .. }
            | Self::Releasing { ttl, .. }
            | Self::Suspect { ttl, .. }
            | Self::Pending { ttl, .. }
            | Self::Condemned { ttl, .. }
            | Self::Cleared { ttl, .. }
            | Self::Isolated { ttl, .. }
            | Self::Ended { ttl, .. } => *ttl = new_ttl,
            _ => {}
        }
        self
    }

    /// Returns the precedence among urgent observations, the highest first. A death makes suspects of
    /// all requests that were in flight; they must not delay news that change what is done at once.
    pub fn precedence(&self) -> Precedence {
        match self {
            Self::Suspect { .. } => Precedence::Suspicion,
            _ => Precedence::Decision,
        }
    }

    /// Returns whether a change of the observation is broadcast to all nodes that accept work, with
    /// everything that is published together with it.
    pub fn broadcast(&self) -> bool {
        matches!(self, Self::Ended { .. })
    }

    /// Returns whether each node speaks for itself: the same observation of another node doesn't replace
    /// one of this node. Another node's state says nothing about this one, and the withdrawal of a verdict
    /// only takes back the verdict of its own origin.
    pub fn is_own(&self) -> bool {
        matches!(self, Self::Isolated { .. } | Self::Ended { .. })
    }

    /// Returns whether the observation is sent on at once instead of with the next exchange. Demand and
    /// load change continuously, and their readers allow for a delay.
    pub fn urgent(&self) -> bool {
        !matches!(self, Self::Load(_) | Self::Demand { .. })
    }
}

/// Precedence of an urgent observation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Precedence {
    /// Other nodes act on it at once.
    Decision,
    /// It counts only together with later observations.
    Suspicion,
}

/// An observation with its origin.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    /// Id of the node that published the item.
    pub origin: Id,
    /// Incarnation of the origin at publication.
    pub incarnation: Incarnation,
    /// Number of the publication, shared by all items that were published together.
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
            Self::Cleared { fingerprint, ttl } => write!(f, "cleared {fingerprint:x} for {ttl:?}"),
            Self::Isolated {
                service,
                isolated,
                ttl,
            } => {
                write!(f, "endpoints of {service} isolated={isolated} for {ttl:?}")
            }
            Self::Demand {
                team,
                rate,
                in_flight,
            } => {
                write!(f, "demand {team:x} rate {rate} in-flight {in_flight}")
            }
            Self::Ended { name, ended, ttl } => write!(f, "run {name} ended={ended} for {ttl:?}"),
        }
    }
}

impl fmt::Display for Item {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x} v{} {}", self.origin, self.version, self.body)
    }
}
