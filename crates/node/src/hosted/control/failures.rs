//! Endpoints that several nodes report as failing or ended.
//!
//! A node that can't reach an endpoint may be cut off itself, so a single failure report does not
//! suffice where other nodes could confirm it. An endpoint that is reported for `LOST_AFTER` counts
//! as lost when layers are placed: its row does not expire during a store outage, so that nothing
//! else shows its death.

use member::group::Group;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Number of nodes that must report an endpoint before it counts as failing, limited by the number
/// of nodes that accept new work.
const FAILURE_QUORUM: usize = 2;
/// Time after which an endpoint that is continuously reported counts as lost. It exceeds the time
/// for which an endpoint that fails only some of its requests is reported by chance.
const LOST_AFTER: Duration = Duration::from_millis(1500);

/// The failing endpoints, by the text form of their runs.
#[derive(Clone, Debug, Default)]
pub struct Failures {
    current: Arc<BTreeSet<String>>,
    /// Since when each failing endpoint counts as such.
    since: BTreeMap<String, Instant>,
}

impl Failures {
    /// Recomputes the failing endpoints from the failure reports of all nodes and from the engines
    /// that did not answer polls. Returns whether the set changed.
    ///
    /// Being unresponsive or ended counts as one more failure report, both together too, since the same
    /// node may have found both. An endpoint that is already failing
    /// stays so while it is one of them: if it were released once the reports expire, every node
    /// would send to it again.
    pub fn update(
        &mut self,
        now: Instant,
        elapsed: Duration,
        group: &Group,
        unresponsive: &BTreeSet<String>,
    ) -> bool {
        let quorum = FAILURE_QUORUM.min(group.accepting().count().max(1));
        let mut failing = group.ejected_by(elapsed, quorum);
        failing.extend(group.ended_by(elapsed, quorum));
        let reported = group.ejected_by(elapsed, 1);
        let ended = group.ended_by(elapsed, 1);
        let kept = unresponsive
            .union(&ended)
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

    /// Returns the endpoints that currently count as failing.
    pub fn current(&self) -> Arc<BTreeSet<String>> {
        self.current.clone()
    }

    /// Returns whether an endpoint has been failing for long enough to count as lost.
    pub fn is_lost(&self, now: Instant, run: &str) -> bool {
        self.since
            .get(run)
            .is_some_and(|&since| now >= since + LOST_AFTER)
    }
}
