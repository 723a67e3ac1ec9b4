//! Trials of features that may crash endpoints: one request with such a feature runs at a time.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;
use steer::crash::Fingerprint;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Features on trial.
#[derive(Debug, Default)]
pub(crate) struct Trials {
    current: RefCell<HashSet<Fingerprint>>,
    /// Notified when a trial ends.
    ended: Notify,
}

impl Trials {
    /// Waits until a trial ends, at most for `max_wait`.
    pub(crate) async fn wait_for_end(&self, max_wait: Duration) {
        let _ = timeout(max_wait, self.ended.notified()).await;
    }
}

/// A trial, which lasts until it is dropped.
#[derive(Debug)]
pub(crate) struct Trial {
    trials: Rc<Trials>,
    features: Vec<Fingerprint>,
}

impl Trial {
    /// Begins a trial; `None` if one of any of these features is in progress.
    pub(crate) fn begin(trials: Rc<Trials>, features: Vec<Fingerprint>) -> Option<Self> {
        let mut current = trials.current.borrow_mut();
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
        let mut current = self.trials.current.borrow_mut();
        current.retain(|feature| !self.features.contains(feature));
        self.trials.ended.notify_waiters();
    }
}
