//! Routing decisions of one request worker, without I/O.
//!
//! Inputs are [`event::Event`]s with the time they came at; outputs are [`action::Action`]s that
//! the entry carries out. [`router::Router`] holds the state. Time is a [`Now`] that is passed in
//! and chance a seeded generator, so that the same events give the same actions.
//!
//! Left to others: sockets and frames (`engine`), callers' HTTP (`entry`), claims of idempotency
//! keys (`lease`), spread of observations between nodes (`member`).

use std::time::Duration;

pub mod action;
pub mod event;
pub mod failure;
pub mod load;
pub mod outcome;
pub mod refusal;
pub mod request;
pub mod view;

/// Time since the process started, on the monotonic clock.
pub type Now = Duration;
/// Number of a request's attempt, from 1; frames of an older attempt are dropped.
pub type Attempt = u32;
