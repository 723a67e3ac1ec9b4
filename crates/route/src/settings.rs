//! Limits of one router.

use std::time::Duration;

/// Limits; [`Settings::default`] holds the values that the measurements were made with.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Most requests that wait and are not urgent.
    pub max_queued: usize,
    /// Most urgent requests that wait.
    pub max_urgent: usize,
    /// Endpoints drawn by flow share for each hop; the best of them is taken.
    pub hop_draws: usize,
    /// Endpoints of one model above which a router prefers a subset, nearest zones first.
    pub subset_threshold: usize,
    /// Prefixes whose endpoints are remembered.
    pub max_prefixes: usize,
    /// Time a request waits for a place where its prefix is cached before it goes elsewhere.
    pub cache_wait: Duration,
    /// Requests looked at for one that is cached where there is a place.
    pub cache_window: usize,
    /// Time between two tokens that the concurrency limits aim at.
    pub target_token_gap: Duration,
    /// Age of a load report at which it counts half.
    pub report_half_life: Duration,
    /// Most attempts of a request, without pauses and without answers that an endpoint is full.
    pub max_attempts: u32,
    /// Retries earned by each first attempt.
    pub retry_ratio: f64,
    /// Retries that can be saved up, at least.
    pub retry_burst: f64,
    /// Seconds of a team's rate that its bucket holds.
    pub team_burst: f64,
    /// Shortest time without progress that counts as silence.
    pub min_silence: Duration,
    /// Time without progress that counts as silence before the first token.
    pub first_token_timeout: Duration,
    /// Time after which an unanswered probe counts as failed.
    pub probe_timeout: Duration,
    /// First time that an endpoint stays ejected; doubles with each ejection in a row.
    pub min_ejection: Duration,
    /// Longest time that an endpoint stays ejected.
    pub max_ejection: Duration,
    /// Attempts that must go well before an endpoint counts as restored.
    pub trial_attempts: u32,
    /// Time an endpoint gets no new work after it answered that it is full.
    pub busy_backoff: Duration,
    /// Time a suspect waits for endpoints to become idle before repeatable work is moved away.
    pub isolation_timeout: Duration,
    /// Fingerprints remembered as suspects, and as condemned.
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
