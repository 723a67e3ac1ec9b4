//! Settings of a roll.

use std::time::Duration;

/// Settings.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Longest time from a load order until the endpoint is ready.
    pub load_timeout: Duration,
    /// When an order that shows no effect is given again.
    pub resend_interval: Duration,
    /// How long a new replica is watched, and how long a zone waits after the one before it.
    pub soak: Duration,
    /// How long an old version stays after the new one is covered: the longest request.
    pub drain: Duration,
    /// Failures of new replicas that stop the roll.
    pub max_failures: usize,
    /// How long a failure counts: single ones, days apart, are those of an ordinary fleet.
    pub failure_window: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            load_timeout: Duration::from_secs(900),
            resend_interval: Duration::from_secs(30),
            soak: Duration::from_secs(60),
            drain: Duration::from_secs(300),
            max_failures: 2,
            failure_window: Duration::from_secs(3600),
        }
    }
}
