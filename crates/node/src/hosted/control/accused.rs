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
const AGREE: usize = 2;
/// Time after which an endpoint that stays accused counts as lost: longer than one that fails a
/// part of its requests stays accused by chance.
const LOST: Duration = Duration::from_millis(1500);

/// The accused endpoints, as texts of their runs.
#[derive(Clone, Debug, Default)]
pub struct Accused {
    now: Arc<BTreeSet<String>>,
    since: BTreeMap<String, Instant>,
}

impl Accused {
    /// Takes in what the nodes say, and which engines did not report when asked; whether it is
    /// different now.
    ///
    /// Silence is one voice beside those of the nodes. An endpoint that is accused stays so while
    /// it is silent: were it let go when the accusations run out, every node would try it again.
    pub fn update(
        &mut self,
        at: Instant,
        elapsed: Duration,
        group: &Group,
        silent: &BTreeSet<String>,
    ) -> bool {
        let agree = AGREE.min(group.accepting().count().max(1));
        let mut accused = group.ejected_by(elapsed, agree);
        let alone = group.ejected_by(elapsed, 1);
        let kept = silent
            .iter()
            .filter(|run| alone.contains(*run) || self.now.contains(*run));
        accused.extend(kept.cloned());
        self.since.retain(|run, _| accused.contains(run));
        for run in &accused {
            self.since.entry(run.clone()).or_insert(at);
        }
        if *self.now == accused {
            return false;
        }
        self.now = Arc::new(accused);
        true
    }

    /// Those that are accused now.
    pub fn now(&self) -> Arc<BTreeSet<String>> {
        self.now.clone()
    }

    /// Whether an endpoint counts as lost.
    pub fn lost(&self, at: Instant, run: &str) -> bool {
        self.since.get(run).is_some_and(|&since| at >= since + LOST)
    }
}
