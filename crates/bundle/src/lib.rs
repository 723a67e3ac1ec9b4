//! Bundles: the signed, versioned description of a fleet.
//!
//! Inputs are bundle text, log records and trusted keys; outputs are checked [`bundle::Bundle`]
//! tables and the head of the log's fold. The crate does no I/O, reads no clock and draws no
//! random numbers; the platform clients and the nodes do that.
//!
//! A checked bundle is a set of dense tables keyed by small ids (an id is the index in its
//! table). Ids belong to one bundle only: code that outlives a bundle matches rows by name.
//!
//! From a file to a bundle in force:
//!
//! 1. [`text`] reads INI into [`sections`], [`verify`] turns these into a [`bundle::Bundle`].
//! 2. [`sign`] makes a [`signed::Version`] of it: a [`delta`] on its parent with a signature.
//! 3. [`record`] encodes it for the log; [`fold`] is how every node judges the log alike.
//! 4. [`publish`] settles how a version's race ended, also when an append's answer was lost.
//! 5. [`checkpoint`] decides who writes the fold's state into the log before retention drops it.

pub mod answer;
pub mod bundle;
pub mod checkpoint;
pub mod delta;
pub mod digest;
pub mod endpoint;
pub mod finding;
pub mod fleet;
pub mod fold;
pub mod history;
pub mod id;
pub mod kind;
pub mod link;
pub mod model;
mod nearest;
pub mod priority;
pub mod publish;
pub mod record;
pub mod section;
pub mod sections;
pub mod service;
pub mod sign;
pub mod signed;
pub mod signer;
pub mod team;
pub mod text;
pub mod verify;
pub mod zone;

pub use crate::bundle::Bundle;
