//! Trials of features that have crashed endpoints: one request with such a feature runs at a time.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use steer::crash::Fingerprint;

/// Features on trial.
pub(crate) type Trials = RefCell<HashSet<Fingerprint>>;

/// A trial, which lasts until it is dropped.
#[derive(Debug)]
pub(crate) struct Trial {
    trials: Rc<Trials>,
    features: Vec<Fingerprint>,
}

impl Trial {
    /// Begins a trial; `None` if one of any of these features is in progress.
    pub(crate) fn begin(trials: Rc<Trials>, features: Vec<Fingerprint>) -> Option<Self> {
        let mut current = trials.borrow_mut();
        if features.iter().any(|feature| current.contains(feature)) {
            return None;
        }
        current.extend(&features);
        drop(current);
        Some(Self { trials, features })
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        let mut trials = self.trials.borrow_mut();
        trials.retain(|feature| !self.features.contains(feature));
    }
}
