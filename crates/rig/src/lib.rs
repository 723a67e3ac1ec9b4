//! A small fleet on loopback in one process: stand-ins, nodes, and callers that check answers.
//!
//! Tests, the demo and the measurements start a fleet, inject faults through the stand-ins' handles
//! and check what callers receive. All traffic goes over real sockets, and nodes and time are real:
//! nothing of the cluster but the stand-ins is simulated.
//!
//! Inputs: a [`plan::Plan`]. Outputs: a [`fleet::Fleet`] and [`caller::Answer`]s. Routing
//! decisions and the stand-ins' faults are implemented in other crates.

pub mod caller;
pub mod expect;
pub mod fleet;
pub mod plan;
pub mod sse;
pub mod tally;
pub mod traffic;
