//! Frames between nodes and the connections that carry them.
//!
//! [`frame::Frame`] is what goes over a connection: types of its own in `bincode`, checked as
//! they become [`member`]'s messages. [`peer::Link`] sends frames to peers and gives back what
//! peers send, over one HTTP/2 stream per connection (`POST /peer`), in both directions. Every
//! frame carries a MAC under a key that both sides derive from the shared key and a nonce each
//! ([`auth`]).
//!
//! Inputs: an address to listen on, the shared key, bounds, messages with the address of their
//! receiver. Outputs: [`peer::Inbound`] on a bounded queue, and [`counters::Counters`].
//!
//! Left to others: what the messages mean (`member`), the records behind a bundle's head (`node`).

pub mod auth;
mod conn;
pub mod counters;
mod dial;
pub mod error;
pub mod frame;
pub mod limits;
mod listen;
pub mod peer;
mod raw;
mod route;

pub use crate::error::{Error, Result};
