//! Features of requests that have completed, which therefore don't crash endpoints.

use super::Fingerprint;
use std::collections::HashSet;

/// Maximum number of features in a generation.
const GENERATION: usize = 4096;

/// The features of the requests that completed last, at least [`GENERATION`] of them.
#[derive(Clone, Debug, Default)]
pub(super) struct Proven {
    current: HashSet<Fingerprint>,
    previous: HashSet<Fingerprint>,
}

impl Proven {
    /// Records that a request with a feature completed.
    pub(super) fn insert(&mut self, feature: Fingerprint) {
        if self.current.len() >= GENERATION {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(feature);
    }

    /// Returns whether a request with a feature completed.
    pub(super) fn contains(&self, feature: Fingerprint) -> bool {
        self.current.contains(&feature) || self.previous.contains(&feature)
    }
}
