//! Tables as an adapter decodes them, before they are checked.

use crate::Version;
use crate::limits::Limits;
use crate::service::Service;

/// A route whose shares still name their services.
pub type Route = crate::route::Route<Share>;

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

/// A named service's share of a route.
#[derive(Clone, Debug)]
pub struct Share {
    /// Name of the service.
    pub service: String,
    /// Its weight.
    pub weight: u32,
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
