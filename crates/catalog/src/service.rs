//! Services.

use crate::engine::Engine;

/// A service: what answers requests of routes, by any of its endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name, by which endpoints register.
    pub name: String,
    /// Connections that one endpoint accepts from all callers.
    pub max_connections: usize,
    /// What its model engine is like; nothing for a plain service.
    pub engine: Option<Engine>,
}
