//! Placement of model layers on the endpoints of a service, without I/O.
//!
//! [`plan::next_orders`] compares what the endpoints hold and returns the orders that bring the
//! fleet closer to complete replica sets with enough free capacity. It keeps no state, so that a
//! successor that sees the same endpoints continues the same plan.
//!
//! Sending orders to endpoints is the job of `node`; selecting the chain for a request is the job
//! of `steer`.

pub mod capacity;
pub mod holder;
pub mod order;
pub mod plan;
pub mod quota;
