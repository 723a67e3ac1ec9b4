//! Clients of model engines and of plain HTTP services.
//!
//! [`chain::run`] runs one attempt of a request on the stages of a pipeline. It opens a stream to
//! each stage, relays activations from stage to stage for every token, verifies that each layer
//! ran exactly once and in order, and emits events. [`service::call`] makes one call of a plain
//! HTTP service. [`load::fetch`] reads the load report of an engine and [`order::send`] sends it
//! an order. All of them use the connections of a [`pool::Pool`].
//!
//! Inputs: a job with its chain of endpoints, and a cancellation token. Outputs: events, or a
//! failure that states whether a byte that could start the work was sent to any endpoint.
//!
//! This crate doesn't select endpoints, detect stalls or retry (`route` does), and doesn't answer
//! callers (`entry` does).

pub mod chain;
pub mod frame;
pub mod load;
pub mod order;
pub mod pool;
pub mod prefix;
pub mod service;
mod stream;
pub mod wire;
