//! Broken attempts of which it is not known yet whether their endpoint has ended.
//!
//! What a node sees at the moment does not always tell: if no endpoint accepts connections, either all
//! of them have ended or the node has lost its paths, and an endpoint that accepts them may have started
//! again. The evidence comes later. Another run at the address of an endpoint shows that the earlier one
//! has ended; a response of that run, or its announcement that it leaves, shows that it did not crash.

use super::Fingerprint;
use crate::Timestamp;
use catalog::endpoint::{Endpoint, Run, State};
use std::net::SocketAddr;
use std::time::Duration;

/// Time for which a case stays open. An endpoint that ended has started again by then, or is lost.
const RETENTION: Duration = Duration::from_secs(30);
/// Maximum number of open cases.
const CAPACITY: usize = 1024;

/// A broken attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Case {
    /// Run that the attempt was sent to.
    pub run: Run,
    /// Address of the run.
    pub addr: SocketAddr,
    /// Runs that were registered at the address when the attempt broke.
    pub known: Vec<Run>,
    /// Features of the request, each with the number of crashes in a row that it has if the run ended.
    pub features: Vec<(Fingerprint, u8)>,
    /// When the attempt broke.
    pub broke_at: Timestamp,
    /// Whether the address refused connections then.
    pub refused: bool,
}

/// The open cases of a worker, in the order in which the attempts broke.
#[derive(Clone, Debug, Default)]
pub struct Cases {
    open: Vec<Case>,
}

impl Cases {
    /// Opens a case. If there are too many, the oldest one is dropped.
    pub fn open(&mut self, case: Case) {
        if self.open.len() >= CAPACITY {
            self.open.remove(0);
        }
        self.open.push(case);
    }

    /// Returns whether no case is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Returns whether a feature is suspect: a case is open in which it is involved, and the address
    /// refused connections.
    pub fn is_suspect(&self, now: Timestamp, feature: Fingerprint) -> bool {
        let current = self.open.iter().filter(|case| case.is_current(now));
        let mut features = current
            .filter(|case| case.refused)
            .flat_map(|case| &case.features);
        features.any(|(f, _)| *f == feature)
    }

    /// Closes the cases of a run that responded to a request which was sent at `sent_at`.
    pub fn acquit(&mut self, run: &Run, sent_at: Timestamp) {
        let is_alive = |case: &Case| case.run == *run && case.broke_at <= sent_at;
        self.open.retain(|case| !is_alive(case));
    }

    /// Removes a feature from all cases, since a request with it completed.
    pub fn clear(&mut self, feature: Fingerprint) {
        for case in &mut self.open {
            case.features.retain(|(f, _)| *f != feature);
        }
        self.open.retain(|case| !case.features.is_empty());
    }

    /// Closes the cases that the registered endpoints decide, and those whose time is over. Returns
    /// those whose run has ended. `has_left` returns whether a run announced that it leaves.
    pub fn settle(
        &mut self,
        now: Timestamp,
        endpoints: &[Endpoint],
        has_left: impl Fn(&Run) -> bool,
    ) -> Vec<Case> {
        if self.open.is_empty() {
            return Vec::new();
        }
        let leaves = |run: &Run| {
            let mut rows = endpoints.iter().filter(|e| e.run == *run);
            has_left(run) || rows.any(|e| e.state == State::Draining)
        };
        self.open
            .retain(|case| case.is_current(now) && !leaves(&case.run));
        let ended = |case: &mut Case| case.is_replaced(endpoints);
        self.open.extract_if(.., ended).collect()
    }
}

impl Case {
    fn is_current(&self, now: Timestamp) -> bool {
        now < self.broke_at.saturating_add(RETENTION)
    }

    /// Returns whether another run has been registered at the address since the attempt broke.
    fn is_replaced(&self, endpoints: &[Endpoint]) -> bool {
        let mut at_address = endpoints.iter().filter(|e| e.addr == self.addr);
        at_address.any(|e| !self.known.contains(&e.run))
    }
}
