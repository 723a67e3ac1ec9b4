//! Whether this node reaches the endpoints of a service at all.
//!
//! A failed attempt is evidence about a path from this node to an endpoint, and not yet about the
//! endpoint. So the report that an endpoint fails is held back until a check, begun after the failure,
//! has tried to connect to other endpoints of the service. If one accepts, the reported endpoints fail.
//! If none of a sample does, the node is isolated from the service: it drops the reports, and its
//! requests are served better by other nodes. It checks again until an endpoint accepts.

use catalog::endpoint::Run;
use std::collections::BTreeMap;

/// Maximum number of endpoints that a check connects to.
pub const SAMPLE: usize = 8;
/// Minimum number of endpoints from which a check can tell the endpoints' failure from the node's.
pub const MIN_SAMPLE: usize = 2;

/// Result of a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// An endpoint accepted a connection.
    Reached,
    /// No endpoint of a sample of at least [`MIN_SAMPLE`] did.
    Unreached,
    /// The service has too few endpoints to compare.
    Unknown,
}

/// What follows from a check.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Endpoints to report as failing.
    pub failing: Vec<Run>,
    /// Whether the node is isolated now, if that changed.
    pub changed: Option<bool>,
    /// Whether another check is due.
    pub again: bool,
}

/// The paths to the endpoints of one service.
#[derive(Clone, Debug, Default)]
struct Path {
    isolated: bool,
    /// Endpoints that failed before the check in progress.
    judged: Vec<Run>,
    /// Endpoints that failed since.
    held: Vec<Run>,
    /// Whether a check is in progress, or due after a pause.
    checking: bool,
    /// Whether a failure since the check in progress calls for another one.
    suspected: bool,
}

/// The paths to the endpoints, by the name of the service.
#[derive(Clone, Debug, Default)]
pub struct Paths {
    services: BTreeMap<String, Path>,
}

impl Paths {
    /// Returns whether the node is isolated from a service.
    pub fn is_isolated(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|p| p.isolated)
    }

    /// Holds back the report that an endpoint fails. Returns whether a check is to be begun.
    pub fn hold(&mut self, service: &str, run: Run) -> bool {
        let path = self.path(service);
        if !path.held.contains(&run) {
            path.held.push(run);
        }
        self.suspect(service)
    }

    /// Records that a connection to an endpoint failed. Returns whether a check is to be begun.
    pub fn suspect(&mut self, service: &str) -> bool {
        let path = self.path(service);
        path.suspected = true;
        !path.checking
    }

    /// Records that a check begins.
    pub fn begin(&mut self, service: &str) {
        let path = self.path(service);
        path.checking = true;
        path.suspected = false;
        path.judged.append(&mut path.held);
    }

    /// Records the end of a check and returns what follows.
    pub fn end(&mut self, service: &str, evidence: Evidence) -> Outcome {
        let path = self.path(service);
        let judged = std::mem::take(&mut path.judged);
        let isolated = evidence == Evidence::Unreached;
        let changed = (path.isolated != isolated).then_some(isolated);
        path.isolated = isolated;
        path.checking = isolated || path.suspected;
        let outcome = Outcome {
            failing: if isolated { Vec::new() } else { judged },
            changed,
            again: path.checking,
        };
        if !outcome.again {
            self.services.remove(service);
        }
        outcome
    }

    fn path(&mut self, service: &str) -> &mut Path {
        self.services.entry(service.to_owned()).or_default()
    }
}
