//! A node on a platform that keeps the operator's catalog and the list of endpoints in a store.
//!
//! Nothing lasts on the node itself. [`control`] reads the store, or a peer's copy of it while the
//! store turns this node away, and publishes what it knows to the request worker, a `gate::worker`.
//! One node, the first of those that live, gives endpoints the orders to hold layers.

pub mod control;
pub mod process;
pub mod settings;
