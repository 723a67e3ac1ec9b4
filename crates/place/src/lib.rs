//! Which layers every endpoint of a model service is to hold; without I/O.
//!
//! [`plan::next_orders`] looks at what the endpoints hold now and gives the orders that bring the fleet
//! closer to a full and roomy cover of the layers. It keeps no state: a successor that sees the
//! same endpoints goes on with the same plan.
//!
//! Left to others: who gives the orders and how (`node`), which chain a request takes (`steer`).

pub mod capacity;
pub mod holder;
pub mod order;
pub mod plan;
pub mod quota;
