//! Bundles: the signed, versioned description of a fleet.
//!
//! Inputs are bundle text, log records and trusted keys; outputs are checked [`bundle::Bundle`]
//! tables and the head that results from folding the log. The crate does no I/O, reads no clock
//! and has no source of entropy (callers pass times and seeds); the platform clients and the nodes
//! do that.
//!
//! A checked bundle is a set of dense tables keyed by small ids (an id is the index in its
//! table). An id is valid within one bundle only: state that outlives a bundle refers to rows by
//! name.
//!
//! From a file to a bundle in force:
//!
//! 1. [`text`] parses INI into [`sections`], and [`verify`] builds a [`bundle::Bundle`] from them.
//! 2. [`sign`] creates a [`signed::Version`] from it: a signed [`delta`] on its parent.
//! 3. [`record`] encodes it for the log; [`fold`] derives the same head from the log on every node.
//! 4. [`publish`] determines whether a version was accepted, also when the response to its append
//!    was lost.
//! 5. [`checkpoint`] decides which node writes the fold's state into the log before retention drops
//!    the last checkpoint.

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
