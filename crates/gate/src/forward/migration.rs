//! Moves responses off a stage that is about to stop serving.
//!
//! An endpoint that leaves or releases layers keeps serving its requests for a few seconds and then
//! ends. Longer responses would stall on it, be detected only by their idle time, and be late. So
//! they are moved while the endpoint still serves, and the caller only waits while the new stage
//! prefills the tokens so far. Moving all responses of a stage at once would queue them at the new
//! one, so each is moved at a random time.

use crate::dialect::Dialect;
use crate::worker::Worker;
use rand::RngExt;
use std::net::SocketAddr;
use std::time::Duration;
use steer::target::Target;
use tokio::time::Instant;

/// Time over which the responses of one stage are moved. Endpoints keep serving for two seconds
/// after they announce that they leave, and nodes learn of it up to one second later.
const MIGRATION_WINDOW: Duration = Duration::from_millis(900);

/// A planned replacement of a stage.
#[derive(Clone, Copy, Debug)]
struct PlannedMove {
    /// The stage to be replaced.
    stage: SocketAddr,
    at: Instant,
}

/// Departing stages of one response.
#[derive(Debug, Default)]
pub(crate) struct Migration {
    /// Version of the selector's table that was last checked.
    table_version: u64,
    planned: Option<PlannedMove>,
}

impl Migration {
    /// Returns the stage of `target` that is to be replaced now, if any, and schedules another
    /// replacement, so that one that fails is retried later.
    pub(crate) fn due<D: Dialect>(
        &mut self,
        worker: &Worker<D>,
        target: &Target,
    ) -> Option<SocketAddr> {
        let table_version = worker.table_version();
        if table_version != self.table_version {
            self.table_version = table_version;
            self.refresh(worker, target);
        }
        let due = self.planned.filter(|n| n.at <= Instant::now())?;
        self.planned = Some(schedule(due.stage));
        Some(due.stage)
    }

    /// Looks up the departing stage again; one that is already scheduled keeps its time.
    fn refresh<D: Dialect>(&mut self, worker: &Worker<D>, target: &Target) {
        let found = worker.with_selector(|selector, _| selector.departing(target));
        let planned_stage = self.planned.map(|n| n.stage);
        if planned_stage != found {
            self.planned = found.map(schedule);
        }
    }
}

/// Schedules a replacement at a random time within [`MIGRATION_WINDOW`].
fn schedule(stage: SocketAddr) -> PlannedMove {
    let delay = MIGRATION_WINDOW.mul_f64(rand::rng().random_range(0.0..1.0));
    let at = Instant::now() + delay;
    PlannedMove { stage, at }
}
