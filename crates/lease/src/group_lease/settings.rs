//! Settings of a lease table, the same on all nodes.

use std::time::Duration;

/// Settings.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How long a lease lasts from when its record was sent.
    pub term: Duration,
    /// Longest time from the sending of an order to its last effect.
    pub max_order_time: Duration,
    /// Allowance for clocks that run at different rates over a term and the longest order.
    pub clock_margin: Duration,
    /// When a lease is renewed, after its record was sent.
    pub renew_interval: Duration,
    /// Nodes of the next rank wait this much longer before they take a free group.
    pub rank_delay: Duration,
    /// Least wait after a failed call.
    pub min_backoff: Duration,
    /// Longest wait after a failed call.
    pub max_backoff: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            term: Duration::from_secs(15),
            max_order_time: Duration::from_secs(5),
            clock_margin: Duration::from_millis(500),
            renew_interval: Duration::from_secs(5),
            rank_delay: Duration::from_millis(500),
            min_backoff: Duration::from_millis(100),
            max_backoff: Duration::from_secs(2),
        }
    }
}

impl Settings {
    /// How long a successor waits after it read another's record.
    pub fn takeover_delay(&self) -> Duration {
        self.term + self.max_order_time + self.clock_margin
    }
}
