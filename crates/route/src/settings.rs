//! Limits of one router.

use std::time::Duration;

/// Limits; [`Settings::default`] holds the values that the measurements were made with.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Most requests that wait and are not urgent.
    pub queue: usize,
    /// Most urgent requests that wait.
    pub urgent: usize,
    /// Endpoints drawn by flow share for each hop; the best of them is taken.
    pub candidates: usize,
    /// Endpoints of one model above which a router prefers a subset, nearest zones first.
    pub subset: usize,
    /// Prefixes whose endpoints are remembered.
    pub prefixes: usize,
    /// Time a request waits for a place where its prefix is cached before it goes elsewhere.
    pub linger: Duration,
    /// Requests looked at for one that is cached where there is a place.
    pub window: usize,
    /// Time between two tokens that the concurrency limits aim at.
    pub gap: Duration,
    /// Age of a load report at which it counts half.
    pub half_life: Duration,
    /// Most attempts of a request, without pauses and without answers that an endpoint is full.
    pub tries: u32,
    /// Retries earned by each first attempt.
    pub retry_ratio: f64,
    /// Retries that can be saved up, at least.
    pub retry_burst: f64,
    /// Seconds of a team's rate that its bucket holds.
    pub burst: f64,
    /// Shortest time without progress that counts as silence.
    pub silence: Duration,
    /// Time without progress that counts as silence before the first token.
    pub first: Duration,
    /// Time after which an unanswered probe counts as failed.
    pub probe: Duration,
    /// First time that an endpoint stays ejected; doubles with each ejection in a row.
    pub backoff: Duration,
    /// Longest time that an endpoint stays ejected.
    pub backoff_most: Duration,
    /// Attempts that must go well before an endpoint counts as restored.
    pub trials: u32,
    /// Time an endpoint gets no new work after it answered that it is full.
    pub busy: Duration,
    /// Time a suspect waits for endpoints to become idle before repeatable work is moved away.
    pub patience: Duration,
    /// Fingerprints remembered as suspects, and as condemned.
    pub fingerprints: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            queue: 4096,
            urgent: 1024,
            candidates: 4,
            subset: 96,
            prefixes: 4096,
            linger: Duration::from_millis(8000),
            window: 64,
            gap: Duration::from_millis(45),
            half_life: Duration::from_secs(3),
            tries: 6,
            retry_ratio: 0.1,
            retry_burst: 16.0,
            burst: 1.0,
            silence: Duration::from_millis(600),
            first: Duration::from_secs(5),
            probe: Duration::from_secs(1),
            backoff: Duration::from_secs(1),
            backoff_most: Duration::from_secs(60),
            trials: 3,
            busy: Duration::from_millis(100),
            patience: Duration::from_millis(500),
            fingerprints: 4096,
        }
    }
}
