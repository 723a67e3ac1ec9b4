//! Test doubles of the systems around the router: engines, plain services, the log service, the
//! instance list and the weight store. Tests, benchmarks and the demo use them.
//!
//! Each one listens on its own loopback address, speaks the formats of `docs/PLATFORM.md` and
//! `docs/ENGINE.md`, and injects faults that can be switched at run time. All state is in memory,
//! many of them run in one process, and no cluster is simulated.

pub mod engine;
pub mod fault;
mod lifecycle;
pub mod list;
pub mod log;
pub mod oracle;
pub mod service;
pub mod weights;
