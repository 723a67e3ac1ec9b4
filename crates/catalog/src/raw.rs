//! Tables as an adapter decodes them, before they are checked.

use crate::Version;
use crate::engine::Engine;
use crate::kind::Kind;
use crate::limits::Limits;
use std::time::Duration;

/// A catalog that has not been checked.
#[derive(Clone, Debug, Default)]
pub struct Tables {
    /// Its number.
    pub version: Version,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Teams; nothing if no request carries a key.
    pub teams: Option<Vec<Team>>,
    /// Bounds of what callers send.
    pub limits: Limits,
}

/// A route; see [`crate::route::Route`].
#[derive(Clone, Debug)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Host that callers name.
    pub host: String,
    /// Prefix of the path.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time that a request is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is on time.
    pub target: Duration,
    /// Rank, 0 first.
    pub priority: u8,
    /// Services that share the requests.
    pub split: Vec<Share>,
    /// Endpoints that one request may be sent to.
    pub attempts: u32,
    /// Whether no key is asked for.
    pub public: bool,
}

/// A named service's share of a route.
#[derive(Clone, Debug)]
pub struct Share {
    /// Name of the service.
    pub service: String,
    /// Its weight.
    pub weight: u32,
}

/// A service; see [`crate::service::Service`].
#[derive(Clone, Debug)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Connections that one endpoint accepts.
    pub connections: usize,
    /// Its model engine.
    pub engine: Option<Engine>,
}

/// A team with its keys.
#[derive(Clone, Debug)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// Keys of its callers.
    pub keys: Vec<String>,
    /// Rank of its requests.
    pub priority: Option<u8>,
}
