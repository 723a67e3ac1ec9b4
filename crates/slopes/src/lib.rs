//! Slopes of what each role of a node costs, for `docs/CAPACITY.md`.
//!
//! One module for each role drives the public functions of its crate with passed-in time at no
//! fewer than three sizes; a [`slope::Slope`] holds what was measured and the line through it.
//! Inputs: none, seeds are fixed. Outputs: processor time as the kernel counts it for the thread,
//! memory as it counts it for the process, bytes as encoded. Left to others: what the figures add
//! up to, which the page says.

pub mod claims;
pub mod clock;
pub mod fleet;
pub mod leases;
pub mod membership;
pub mod path;
pub mod platform;
pub mod polling;
pub mod size;
pub mod slope;
pub mod snapshot;
pub mod versions;

// The supports of the crates' own tests: the same groups and views are measured here.
#[path = "../../route/tests/support/fixture.rs"]
mod fixture;
#[path = "../../member/tests/support/net.rs"]
mod net;
