//! Small stand-ins of what surrounds the system, over loopback sockets, for tests, measurements
//! and the demo.
//!
//! Each listens on an address of its own, answers in the formats of `docs/PLATFORM.md` and
//! `docs/ENGINE.md`, and has faults that are switched at run time. They keep everything in memory,
//! run many in one process, and simulate no cluster.

pub mod engine;
pub mod fault;
mod lifecycle;
pub mod list;
pub mod log;
pub mod oracle;
pub mod service;
pub mod weights;
