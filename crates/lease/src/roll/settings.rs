//! Settings of a roll.

use std::time::Duration;

/// Settings of a roll.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Maximum time from a load order until the endpoint is ready.
    pub load_timeout: Duration,
    /// Time after which an order without visible effect is sent again.
    pub resend_interval: Duration,
    /// How long a new replica is watched, and so how long a zone waits after the one before it.
    pub soak: Duration,
    /// How long an old version stays loaded after the new one is covered: the maximum duration of a
    /// request.
    pub drain: Duration,
    /// Number of failures of new replicas that stops the roll.
    pub max_failures: usize,
    /// How long a failure counts. Single failures days apart are normal in a fleet and must not
    /// stop the roll.
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
