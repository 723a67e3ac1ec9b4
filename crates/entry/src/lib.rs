//! The callers' side of a node: HTTP and SSE, addresses, the admin listener, metrics and dumps.
//!
//! Inputs are callers' connections, the [`snapshot::Snapshot`] that control publishes, and checked
//! [`settings::Settings`]; outputs are answers, attempts on endpoints through `engine`, and
//! observations for control through a bounded [`ring`].
//!
//! A request worker is one thread with a current-thread runtime. Its [`core`] owns a
//! `route::Router` and is the only one to touch it: handlers and attempts send it
//! [`core::Command`]s and it answers with [`core::Reply`]s. Nothing here takes a lock that control
//! holds; the snapshot is read through an atomic pointer.
//!
//! Left to others: which endpoints run a request (`route`), what the fleet looks like (control, in
//! the node), the protocol of endpoints (`engine`).

pub mod address;
pub mod admin;
pub mod answer;
pub mod api;
pub mod attempt;
pub mod cause;
pub mod claim;
pub mod core;
pub mod handler;
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
