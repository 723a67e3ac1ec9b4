//! Data model of a node's configuration: the operator's catalog and the registered endpoints.
//!
//! An adapter decodes raw tables ([`raw`]); this crate validates them and builds the checked
//! [`Catalog`] of routes, services and teams. It also defines [`endpoint::Endpoint`]s and the
//! replicated tables that both are read from ([`source`]). It does no I/O and reads no clock.
//!
//! Ids are indexes into the tables of one catalog. Code that outlives a catalog must look up rows
//! by name.
//!
//! Out of scope: reading the tables from the platform's store (`platform/`), selecting the endpoint
//! of a request (`steer`), assigning layers to endpoints (`place`).

pub mod bounds;
pub mod checked;
pub mod endpoint;
pub mod engine;
pub mod finding;
pub mod kind;
pub mod limits;
pub mod quote;
pub mod raw;
pub mod route;
pub mod service;
pub mod source;
pub mod team;

pub use crate::checked::Catalog;
pub use crate::endpoint::Endpoint;

/// Version of a catalog; a higher version replaces a lower one.
pub type Version = u64;
/// Index of a route in the tables of one catalog.
pub type RouteId = u32;
/// Index of a service in the tables of one catalog.
pub type ServiceId = u32;
/// Index of a team in the tables of one catalog.
pub type TeamId = u32;
/// Index of a layer of a model, from 0; also a number of layers.
pub type Layer = u32;
/// Result of validating a catalog; the error lists every finding.
pub type Result<T> = std::result::Result<T, Vec<finding::Finding>>;
