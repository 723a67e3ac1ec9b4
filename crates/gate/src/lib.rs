//! The callers' side for routes by host and path: requests in, answers of endpoints out.
//!
//! A request keeps its method, path, headers and body on its way to an endpoint, and the answer
//! its status, headers and body on its way back. What differs between installations, the names
//! and forms of headers, is behind the [`dialect::Dialect`].
//!
//! Inputs are callers' connections and the [`view::View`] that control publishes; outputs are
//! requests to endpoints. One [`worker::Worker`] is one thread with a current-thread runtime; only
//! that thread touches its `steer::Selector`.
//!
//! Left to others: which endpoint runs a request (`steer`), what the fleet looks like (control, in
//! the node).

pub mod admit;
pub mod body;
pub mod dialect;
pub mod discovery;
pub mod events;
pub mod forward;
pub mod job;
pub mod listener;
pub mod metrics;
pub mod pool;
pub mod refusal;
pub mod splice;
pub mod stats;
pub mod view;
pub mod worker;
