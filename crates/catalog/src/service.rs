//! Services that routes refer to.

use crate::engine::Engine;

/// A service: a group of interchangeable endpoints that handle requests of routes.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name, which endpoints register with.
    pub name: String,
    /// Largest number of connections that one endpoint accepts in total.
    pub max_connections: usize,
    /// Performance model of its engines; `None` for a service that runs no model.
    pub engine: Option<Engine>,
}
