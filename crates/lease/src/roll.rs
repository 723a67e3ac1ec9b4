//! The roll: which order to which endpoint comes next towards the bundle's desired state.
//!
//! The holder of a group's lease calls [`Roll::step`] with a [`View`]: the bundle in force, what the
//! endpoints report and what the weight store allows. Orders are idempotent: they name the state
//! to reach, and any other state that is reported later, for whatever reason, is ordered right
//! again. See `docs/design/roll.md`.

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
