//! Settings of a lease table, the same on all nodes.

use std::time::Duration;

/// Settings.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How long a lease lasts from when its record was sent.
    pub term: Duration,
    /// Longest time from the sending of an order to its last effect.
    pub longest: Duration,
    /// Allowance for clocks that run at different rates over a term and the longest order.
    pub margin: Duration,
    /// When a lease is renewed, after its record was sent.
    pub renew: Duration,
    /// Nodes of the next rank wait this much longer before they take a free group.
    pub step: Duration,
    /// Least wait after a failed call.
    pub retry: Duration,
    /// Longest wait after a failed call.
    pub retry_most: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            term: Duration::from_secs(15),
            longest: Duration::from_secs(5),
            margin: Duration::from_millis(500),
            renew: Duration::from_secs(5),
            step: Duration::from_millis(500),
            retry: Duration::from_millis(100),
            retry_most: Duration::from_secs(2),
        }
    }
}

impl Settings {
    /// How long a successor waits after it read another's record.
    pub fn wait(&self) -> Duration {
        self.term + self.longest + self.margin
    }
}
