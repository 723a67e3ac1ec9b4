//! Tables as an adapter decodes them, before validation.

use crate::Version;
use crate::limits::Limits;
use crate::service::Service;

/// A route whose shares refer to services by name.
pub type Route = crate::route::Route<Share>;

/// The tables of a catalog that has not been validated.
#[derive(Clone, Debug, Default)]
pub struct Tables {
    /// Version of the catalog.
    pub version: Version,
    /// Routes, with shares that refer to services by name.
    pub routes: Vec<Route>,
    /// Services that the routes refer to.
    pub services: Vec<Service>,
    /// Teams; `None` if requests need no key.
    pub teams: Option<Vec<Team>>,
    /// Limits on the connections and requests of callers.
    pub limits: Limits,
}

/// Share of a route's requests that goes to a named service.
#[derive(Clone, Debug)]
pub struct Share {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the other shares of the route; the service gets no requests if it is 0.
    pub weight: u32,
}

/// A team and its keys.
#[derive(Clone, Debug)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// Keys that identify its callers.
    pub keys: Vec<String>,
    /// Priority of its requests, 0 is the highest; overrides the priority of the route.
    pub priority: Option<u8>,
}
