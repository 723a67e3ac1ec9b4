//! Routing decisions of one request worker, without I/O.
//!
//! Inputs are [`event::Event`]s with the time of their arrival; outputs are [`action::Action`]s
//! that the entry carries out. [`router::Router`] holds the state. The time is passed in as a
//! [`Now`] and randomness comes from a seeded generator, so that the same events yield the same
//! actions.
//!
//! Out of scope: sockets and frames (`engine`), HTTP with callers (`entry`), claims of idempotency
//! keys (`lease`), dissemination of observations between nodes (`member`).

use std::time::Duration;

pub mod action;
pub mod audit;
pub mod chain;
pub mod choose;
pub mod concurrency;
pub mod crash;
pub mod event;
pub mod failure;
pub mod finding;
pub mod fleet;
pub mod health;
pub mod job;
pub mod load;
pub mod meter;
pub mod outcome;
pub mod plan;
pub mod queue;
pub mod refusal;
pub mod report;
pub mod request;
pub mod retry;
pub mod router;
pub mod settings;
pub mod share;
pub mod view;

/// Time since the process started, on the monotonic clock.
pub type Now = Duration;
/// Number of an attempt of a request, from 1; frames of an older attempt are dropped.
pub type Attempt = u32;
