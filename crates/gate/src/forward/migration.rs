//! When an answer is moved off a stage that is about to go.
//!
//! An endpoint that leaves, or gives up layers, serves what passes through it for a few seconds and
//! then ends. Answers that last longer stall on it, are found by their silence, and come late. So
//! they are moved while it still serves: the caller sees the time that the new stage takes to read
//! the tokens so far. All answers of a stage moved at once would wait for each other at the new one,
//! so each draws its moment.

use crate::dialect::Dialect;
use crate::worker::Worker;
use rand::RngExt;
use std::net::SocketAddr;
use std::time::Duration;
use steer::target::Target;
use tokio::time::Instant;

/// Time over which the answers of one stage are moved. Endpoints serve for two seconds after they
/// said that they leave, and nodes learn it up to a second later.
const MIGRATION_WINDOW: Duration = Duration::from_millis(900);

/// A move that is to come.
#[derive(Clone, Copy, Debug)]
struct PlannedMove {
    /// The stage that is replaced.
    stage: SocketAddr,
    at: Instant,
}

/// What one answer knows of its departing stages.
#[derive(Debug, Default)]
pub(crate) struct Migration {
    /// Number of the view that was looked at.
    view_number: u64,
    planned: Option<PlannedMove>,
}

impl Migration {
    /// The stage of `target` that is to be replaced now, if any. After that it draws another moment,
    /// so that a move which fails is tried again later.
    pub(crate) fn due<D: Dialect>(
        &mut self,
        worker: &Worker<D>,
        target: &Target,
    ) -> Option<SocketAddr> {
        let view_number = worker.view_number();
        if view_number != self.view_number {
            self.view_number = view_number;
            self.refresh(worker, target);
        }
        let due = self.planned.filter(|n| n.at <= Instant::now())?;
        self.planned = Some(schedule(due.stage));
        Some(due.stage)
    }

    /// Finds the departing stage anew; one that is planned keeps its moment.
    fn refresh<D: Dialect>(&mut self, worker: &Worker<D>, target: &Target) {
        let found = worker.with_selector(|selector, _| selector.departing(target));
        let planned_stage = self.planned.map(|n| n.stage);
        if planned_stage != found {
            self.planned = found.map(schedule);
        }
    }
}

/// Replaces a stage at a moment within [`SPREAD`].
fn schedule(stage: SocketAddr) -> PlannedMove {
    let delay = MIGRATION_WINDOW.mul_f64(rand::rng().random_range(0.0..1.0));
    let at = Instant::now() + delay;
    PlannedMove { stage, at }
}
