//! Membership of nodes, dissemination of their observations, and their shares of team limits.
//!
//! [`group::Group`] holds the membership protocol, a variant of SWIM. It handles [`event::Event`]s,
//! each with the time of its arrival, and returns [`action::Action`]s. Per round it probes one peer
//! and exchanges digests with it (anti-entropy), and probes its two neighbours in the ring of ids, so
//! that the cost of a node per round does not depend on the number of nodes. What one node publishes
//! ([`item::Observation`]) reaches all others. Every message carries the highest bundle head known
//! to its sender. [`team::Teams`] computes each node's share of the team limits from the demand that
//! the nodes announced.
//!
//! The crate performs no I/O and is deterministic: the time since the process started is an
//! argument, and all random choices derive from a seed.
//!
//! Other crates encode frames and authenticate connections (`wire`), read the instance list
//! (`platform`), fetch and verify the bundle of a head (`bundle`) and enforce the shares at
//! admission (`route`).

pub mod action;
mod broadcast;
pub mod counters;
pub mod demand;
mod dissemination;
pub mod event;
mod exchange;
mod fetch;
pub mod group;
pub mod head;
pub mod identity;
pub mod invariants;
pub mod item;
pub mod level;
pub mod message;
mod partition;
pub mod peer;
mod probe;
mod reconcile;
mod ring;
pub mod roster;
pub mod settings;
pub mod share;
pub mod store;
mod suspicion;
pub mod team;
mod view;

pub use crate::message::Message;

/// Time since the process started, on the monotonic clock.
pub type Now = std::time::Duration;
