//! Rolls: rolling updates that bring the endpoints of a group to the bundle's desired state.
//!
//! The holder of the group's lease calls [`Roll::step`] with a [`View`]: the bundle in force, the
//! reports of the endpoints and the rate that the weight store allows. Orders are idempotent, since
//! each names the state to reach. If an endpoint later reports another state, for whatever reason,
//! it gets a new order. See `docs/design/roll.md`.

pub mod action;
pub mod check;
pub mod coverage;
pub mod order;
pub mod phase;
pub mod plan;
pub mod report;
pub mod settings;
pub mod view;

pub use action::Action;
pub use coverage::Coverage;
pub use order::Order;
pub use phase::Phase;
pub use plan::Roll;
pub use report::{Holding, Report};
pub use settings::Settings;
pub use view::{Health, Rate, View};
