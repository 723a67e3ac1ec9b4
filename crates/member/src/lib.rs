//! Membership of the nodes, spread of observations between them, and shares of team limits.
//!
//! [`group::Group`] decides who lives: it takes [`event::Event`]s with the time they came at and
//! gives [`action::Action`]s back. It probes one peer per round and exchanges digests with that
//! same peer, and probes the two that it watches, so that a node's cost per round does not depend on
//! the number of nodes. What one node publishes ([`item::Observation`]) reaches all others; the highest bundle
//! head is part of every message. [`team::Teams`] turns the spread demand into each node's share of the team limits.
//!
//! Time is passed in as the time since the process started, chance as a seed: the same events
//! give the same actions. There is no I/O here.
//!
//! Left to others: frames, connections and their authentication (`wire`), reading the instance
//! list (`platform`), fetching and checking the bundle behind a head (`bundle`), enforcing the
//! shares at admission (`route`).

pub mod action;
pub mod counters;
pub mod demand;
mod dissemination;
pub mod event;
mod exchange;
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
