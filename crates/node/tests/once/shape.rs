//! Shapes of the users' deployments, as far as at-most-once requests are concerned.

use std::time::Duration;

/// A deployment with three plain endpoints.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    pub name: &'static str,
    pub nodes: usize,
    /// Longest time for which a request is kept waiting, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which a response is on time, in milliseconds.
    pub latency_target_ms: u64,
    /// Time for which a caller waits for a thing, with all its attempts.
    pub time_limit: Duration,
    /// Mean time for which a request runs, in milliseconds.
    pub work_ms: u64,
}

const TUTORING: Shape = Shape {
    name: "guruhaat-prod",
    nodes: 8,
    timeout_ms: 800,
    latency_target_ms: 300,
    time_limit: Duration::from_millis(1500),
    work_ms: 60,
};

const MENUS: Shape = Shape {
    name: "ql-menus",
    nodes: 7,
    timeout_ms: 1200,
    latency_target_ms: 150,
    time_limit: Duration::from_millis(2500),
    work_ms: 30,
};

impl Shape {
    /// Returns the shape of a run: seeds alternate. `ONCE_NODES` sets another number of nodes.
    pub fn of_seed(seed: u64) -> Self {
        let shape = match seed % 2 {
            0 => MENUS,
            _ => TUTORING,
        };
        let nodes = std::env::var("ONCE_NODES").ok();
        Self {
            nodes: nodes.and_then(|n| n.parse().ok()).unwrap_or(shape.nodes),
            ..shape
        }
    }
}
