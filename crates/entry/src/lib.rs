//! The callers' side of a node: HTTP and SSE, addresses, the admin listener, metrics and dumps.
//!
//! Inputs are callers' connections, the [`snapshot::Snapshot`] that the control thread publishes,
//! and the node's validated settings. Outputs are answers to callers, attempts on endpoints
//! through `engine`, and events for the control thread through a bounded [`ring`].
//!
//! A request worker is one thread with a current-thread runtime. Its [`core`] is the sole owner of
//! a `route::Router`: handlers and attempts send [`core::Command`]s to the core, which answers with
//! [`core::Reply`]s. Nothing in this crate takes a lock that the control thread holds; the snapshot
//! is read through an atomic pointer.
//!
//! Out of scope: the selection of endpoints for a request (`route`), the state of the fleet (the
//! control thread, in the node's crate) and the protocol of endpoints (`engine`).

pub mod account;
pub mod address;
pub mod admin;
pub mod answer;
pub mod api;
pub mod attempt;
pub mod cause;
pub mod claim;
pub mod core;
pub mod handler;
mod hop_by_hop;
pub mod limits;
pub mod listener;
pub mod metrics;
pub mod request_body;
pub mod response;
pub mod ring;
pub mod server;
pub mod snapshot;
pub mod sse;
pub mod tls;
pub mod worker;
