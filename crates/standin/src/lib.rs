//! Small stand-ins of what surrounds the system, over loopback sockets, for tests and the demo.
//!
//! Each listens on an address of its own, answers in the formats of `docs/PLATFORM.md` and has
//! faults that are switched at run time. They keep everything in memory and simulate no cluster.

pub mod fault;
pub mod list;
pub mod log;
pub mod weights;
