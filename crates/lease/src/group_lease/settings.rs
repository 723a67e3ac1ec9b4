//! Settings of a lease table. They must be the same on all nodes.

use std::time::Duration;

/// Settings of a lease table.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Duration of a lease from when its record was sent.
    pub term: Duration,
    /// Maximum time from the sending of an order to its last effect.
    pub max_order_time: Duration,
    /// Allowance for the different rates of clocks over a term and the longest order.
    pub clock_margin: Duration,
    /// Time after which a lease is renewed, from when its record was sent.
    pub renew_interval: Duration,
    /// Additional delay for each rank before a node acquires a free group.
    pub rank_delay: Duration,
    /// Minimum backoff after a failed call.
    pub min_backoff: Duration,
    /// Maximum backoff after a failed call.
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
    /// Time that a successor waits after it has read a record of another node.
    pub fn takeover_delay(&self) -> Duration {
        self.term + self.max_order_time + self.clock_margin
    }
}
