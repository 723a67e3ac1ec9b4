//! Endpoints that several nodes found to fail.
//!
//! A node that can't reach an endpoint may be cut off itself, so one accuser is not believed where
//! there are others to ask. An endpoint that stays accused counts as lost when layers are placed:
//! while the store is out its row does not lapse, and nothing else tells of its death.

use member::group::Group;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Nodes that have to agree, if there are so many.
const FAILURE_QUORUM: usize = 2;
/// Time after which an endpoint that stays accused counts as lost: longer than one that fails a
/// part of its requests stays accused by chance.
const LOST_AFTER: Duration = Duration::from_millis(1500);

/// The accused endpoints, as texts of their runs.
#[derive(Clone, Debug, Default)]
pub struct Failures {
    current: Arc<BTreeSet<String>>,
    since: BTreeMap<String, Instant>,
}

impl Failures {
    /// Takes in what the nodes say, and which engines did not report when asked; whether it is
    /// different now.
    ///
    /// Silence is one voice beside those of the nodes. An endpoint that is accused stays so while
    /// it is silent: were it let go when the accusations run out, every node would try it again.
    pub fn update(
        &mut self,
        now: Instant,
        elapsed: Duration,
        group: &Group,
        unresponsive: &BTreeSet<String>,
    ) -> bool {
        let quorum = FAILURE_QUORUM.min(group.accepting().count().max(1));
        let mut failing = group.ejected_by(elapsed, quorum);
        let reported = group.ejected_by(elapsed, 1);
        let kept = unresponsive
            .iter()
            .filter(|run| reported.contains(*run) || self.current.contains(*run));
        failing.extend(kept.cloned());
        self.since.retain(|run, _| failing.contains(run));
        for run in &failing {
            self.since.entry(run.clone()).or_insert(now);
        }
        if *self.current == failing {
            return false;
        }
        self.current = Arc::new(failing);
        true
    }

    /// Those that are accused now.
    pub fn current(&self) -> Arc<BTreeSet<String>> {
        self.current.clone()
    }

    /// Whether an endpoint counts as lost.
    pub fn is_lost(&self, now: Instant, run: &str) -> bool {
        self.since
            .get(run)
            .is_some_and(|&since| now >= since + LOST_AFTER)
    }
}
