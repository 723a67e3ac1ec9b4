//! A node on a platform that keeps the operator's catalog and the list of endpoints in a store.
//!
//! The node itself stores nothing durably. [`control`] reads the store, or copies of its tables
//! from a peer while the store refuses this node, and publishes a view to the request worker, a
//! `gate::worker`. A few nodes, the first of those that are alive, order endpoints which layers to
//! hold.

pub mod control;
pub mod process;
pub mod settings;
