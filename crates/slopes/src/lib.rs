//! Cost of each role of a node as a function of fleet size, for `docs/CAPACITY.md`.
//!
//! One module for each role drives the public functions of its crate at three or more sizes, on
//! simulated time where the functions take the time as an argument; a [`slope::Slope`] holds the
//! measured points and the line fitted through them.
//! Inputs: none, seeds are fixed. Outputs: processor time as the kernel counts it for the thread,
//! memory as the process's allocator counts it, encoded sizes in bytes. The capacity plan that
//! follows from these figures is in `docs/CAPACITY.md`.

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

// Test support modules of the crates, included so that the groups and views measured here are
// the ones that those tests run on.
#[path = "../../route/tests/support/fixture.rs"]
mod fixture;
#[path = "../../member/tests/support/net.rs"]
mod net;
