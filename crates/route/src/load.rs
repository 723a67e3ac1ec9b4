//! Load as endpoints report it, some time late.

use std::time::Duration;

/// A load report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Time between two tokens of one stream.
    pub inter_token: Duration,
    /// How old the report was when it came.
    pub age: Duration,
}
