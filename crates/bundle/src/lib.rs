//! Bundles: the signed, versioned description of a fleet.
//!
//! Inputs are bundle text, log records and trusted keys; outputs are checked [`bundle::Bundle`]
//! tables and the head of the log's fold. The crate does no I/O, reads no clock and draws no
//! random numbers; the platform clients and the nodes do that.
//!
//! A checked bundle is a set of dense tables keyed by small ids (an id is the index in its
//! table). Ids belong to one bundle only: code that outlives a bundle matches rows by name.

pub mod bundle;
pub mod digest;
pub mod endpoint;
pub mod id;
pub mod kind;
pub mod link;
pub mod model;
pub mod priority;
pub mod service;
pub mod signer;
pub mod team;
pub mod zone;

pub use crate::bundle::Bundle;
