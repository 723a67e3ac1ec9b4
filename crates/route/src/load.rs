//! Load reports of endpoints, which arrive with a delay.

use std::time::Duration;

/// Load report of one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Time between two tokens of one stream.
    pub inter_token: Duration,
    /// Age of the report on arrival.
    pub age: Duration,
}
