//! Settings of one router.

use std::time::Duration;

/// Limits, timeouts and targets of a router.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Maximum number of waiting requests that are not urgent.
    pub max_queued: usize,
    /// Maximum number of waiting urgent requests.
    pub max_urgent: usize,
    /// Number of stages drawn for each hop by planned flow, of which the cheapest is taken.
    pub hop_draws: usize,
    /// Number of stages of one model above which a router prefers a subset, nearest zones first.
    pub subset_threshold: usize,
    /// Maximum number of prefixes remembered.
    pub max_prefixes: usize,
    /// Time that a request waits for an endpoint with its prefix in the cache before it runs
    /// elsewhere.
    pub cache_wait: Duration,
    /// Number of waiting requests examined for one whose prefix is cached on an endpoint with free
    /// capacity.
    pub cache_window: usize,
    /// Time between two tokens that the concurrency limits aim at.
    pub target_token_gap: Duration,
    /// Age of a load report at which it counts half.
    pub report_half_life: Duration,
    /// Maximum number of attempts of a request, not counting pauses and refusals by endpoints.
    pub max_attempts: u32,
    /// Retries earned by each first attempt.
    pub retry_ratio: f64,
    /// Minimum capacity of the retry budget.
    pub retry_burst: f64,
    /// Capacity of a team's token bucket, in seconds of its rate.
    pub team_burst: f64,
    /// Minimum time without progress that counts as silence.
    pub min_silence: Duration,
    /// Time without progress that counts as silence before the first token.
    pub first_token_timeout: Duration,
    /// Time after which an unanswered probe counts as failed.
    pub probe_timeout: Duration,
    /// Duration of the first ejection; doubles with each consecutive ejection.
    pub min_ejection: Duration,
    /// Maximum duration of an ejection.
    pub max_ejection: Duration,
    /// Number of successful attempts after which an endpoint on trial counts as restored.
    pub trial_attempts: u32,
    /// Time without new work after an endpoint answered that it is full, unless it states a delay.
    pub busy_backoff: Duration,
    /// Time that a suspect waits for endpoints to become idle before movable work is moved away.
    pub isolation_timeout: Duration,
    /// Maximum number of fingerprints remembered as suspect, and as condemned.
    pub max_fingerprints: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_queued: 4096,
            max_urgent: 1024,
            hop_draws: 4,
            subset_threshold: 96,
            max_prefixes: 4096,
            cache_wait: Duration::from_millis(8000),
            cache_window: 64,
            target_token_gap: Duration::from_millis(45),
            report_half_life: Duration::from_secs(3),
            max_attempts: 6,
            retry_ratio: 0.1,
            retry_burst: 16.0,
            team_burst: 1.0,
            min_silence: Duration::from_millis(600),
            first_token_timeout: Duration::from_secs(5),
            probe_timeout: Duration::from_millis(500),
            min_ejection: Duration::from_secs(1),
            max_ejection: Duration::from_secs(60),
            trial_attempts: 3,
            busy_backoff: Duration::from_millis(100),
            isolation_timeout: Duration::from_millis(500),
            max_fingerprints: 4096,
        }
    }
}
