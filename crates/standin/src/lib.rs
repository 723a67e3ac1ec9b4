//! Small fakes of the platform and the endpoints, for tests, measurements and the demo.
//!
//! They listen on loopback, many in one process, and can be made to fail while they run.

pub mod engine;
mod life;
pub mod oracle;
pub mod service;
