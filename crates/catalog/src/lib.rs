//! What a node believes of the outside: the operator's catalog and the endpoints that registered.
//!
//! Inputs are raw tables that an adapter has decoded ([`raw`]); outputs are the checked
//! [`Catalog`] with its routes, services and teams, and [`endpoint::Endpoint`]s. No I/O, no clock.
//!
//! Ids are indexes into one catalog's tables. Code that outlives a catalog matches rows by name.
//!
//! Left to others: where the tables come from (`platform/`), which endpoint runs a request
//! (`steer`), which layers an endpoint holds (`place`).

pub mod checked;
pub mod endpoint;
pub mod engine;
pub mod finding;
pub mod kind;
pub mod limits;
pub mod raw;
pub mod route;
pub mod service;
pub mod source;
pub mod team;

pub use crate::checked::Catalog;
pub use crate::endpoint::Endpoint;

/// Number of a catalog; a higher one replaces a lower one.
pub type Version = u64;
/// Index of a route in its catalog.
pub type RouteId = u32;
/// Index of a service in its catalog.
pub type ServiceId = u32;
/// Index of a team in its catalog.
pub type TeamId = u32;
/// Number of a model's layer, from 0.
pub type Layer = u32;
/// Result of checking a catalog; every finding is told.
pub type Result<T> = std::result::Result<T, Vec<finding::Finding>>;
