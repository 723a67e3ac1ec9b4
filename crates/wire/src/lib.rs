//! Frames between nodes and the connections that carry them.
//!
//! A [`frame::Frame`] is the unit that is sent over a connection. It is encoded with `bincode`
//! through types private to this crate, and checked when it is decoded into the messages of
//! [`member`]. [`peer::Link`] sends frames to peers and delivers those received from them. Each
//! connection has one HTTP/2 stream (`POST /peer`), which carries frames in both directions. Every
//! frame carries a MAC; both sides derive its key from the shared key and one nonce of each side
//! ([`auth`]).
//!
//! Inputs: an address to listen on, the shared key, limits, and messages with the addresses of
//! their receivers. Outputs: [`peer::Inbound`] on a bounded queue, and [`counters::Counters`].
//!
//! The meaning of the messages belongs to `member`, the records of a bundle's head to `node`.

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
