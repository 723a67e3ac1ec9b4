//! Endpoints that announced that they leave.
//!
//! An announcement comes from the endpoint itself and is final for its run. The endpoint's
//! registration may lag behind it, or be missing for a while after a store outage and then be there
//! again, so announcements are kept apart from the table of endpoints.

use crate::Timestamp;
use catalog::endpoint::Run;
use std::collections::HashMap;
use std::time::Duration;

/// Time for which an announcement is kept after the run has disappeared from the table. It exceeds
/// the time for which an endpoint serves after its announcement, and that of a store outage.
const RETENTION: Duration = Duration::from_secs(600);

/// Runs that announced that they leave, each with the time at which it was last in the table.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    runs: HashMap<Run, Timestamp>,
}

impl Departures {
    /// Records an announcement. Returns whether it is the first one of the run.
    pub fn record(&mut self, now: Timestamp, run: &Run) -> bool {
        self.runs.insert(run.clone(), now).is_none()
    }

    /// Returns whether a run announced that it leaves.
    pub fn contains(&self, run: &Run) -> bool {
        self.runs.contains_key(run)
    }

    /// Discards the runs that have been missing from the table for a long time. `known` returns
    /// whether a run is in the table.
    pub fn expire(&mut self, now: Timestamp, known: impl Fn(&Run) -> bool) {
        self.runs.retain(|run, last_known| {
            if known(run) {
                *last_known = now;
            }
            now < last_known.saturating_add(RETENTION)
        });
    }
}
