//! Clients of model engines and plain services.
//!
//! [`chain::run`] drives one attempt of a request through the stages of a pipeline: it opens a
//! stream to each, relays activations from stage to stage for every token, checks that each layer
//! ran once and in order, and reports events. [`service::call`] makes one call of a plain service.
//! [`load::fetch`] and [`order::send`] read an engine's load and give it orders. All of them use
//! the connections of a [`pool::Pool`].
//!
//! Inputs: a job with its chain of endpoints, and a cancellation token. Outputs: events, or a
//! failure that says whether a byte that could start the work left for any endpoint.
//!
//! Left to others: which endpoints to use, when silence is too long, whether and where to retry
//! (`route`), and what the caller is told (`entry`).

pub mod chain;
pub mod frame;
pub mod load;
pub mod order;
pub mod pool;
pub mod prefix;
pub mod service;
mod stream;
pub mod wire;
