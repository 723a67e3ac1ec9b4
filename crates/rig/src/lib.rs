//! A small fleet on loopback in one process: stand-ins, nodes, and callers that check answers.
//!
//! Tests, the demo and the measurements start it, switch faults on the stand-ins' handles and look at
//! what callers see. Everything goes over real sockets. It simulates no cluster: the nodes are
//! the real ones, and time is real.
//!
//! Inputs: a [`plan::Plan`]. Outputs: a [`fleet::Fleet`] and [`caller::Answer`]s. Decisions and
//! the stand-ins' own faults are left to other crates.

pub mod caller;
pub mod expect;
pub mod fleet;
pub mod plan;
pub mod sse;
pub mod tally;
pub mod traffic;
