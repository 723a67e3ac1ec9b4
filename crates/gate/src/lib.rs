//! HTTP front end for routes that are selected by host and path: accepts callers' requests,
//! forwards them to endpoints and returns the responses.
//!
//! Method, path, headers and body of a request and status, headers and body of a response are
//! passed through, except for hop-by-hop headers and headers between nodes and endpoints. Names and
//! formats of headers differ between installations and are defined by a [`dialect::Dialect`].
//!
//! Inputs are callers' connections and the [`view::View`] that the control task publishes; outputs
//! are requests to endpoints. Each [`worker::Worker`] runs on one thread with a current-thread
//! runtime, and only that thread accesses its `steer::Selector`.
//!
//! Selection of endpoints is in `steer`; the state of the fleet is maintained by the control task
//! of the node.

pub mod admission;
pub mod admit;
pub mod body;
mod connection;
pub mod departure;
pub mod dialect;
pub mod discovery;
mod duration;
pub mod events;
pub mod execution;
pub mod forward;
pub mod job;
pub mod kept;
pub mod listener;
pub mod metrics;
pub mod pool;
mod probe;
mod reach;
pub mod refusal;
pub mod splice;
pub mod stats;
mod trial;
pub mod view;
pub mod worker;
