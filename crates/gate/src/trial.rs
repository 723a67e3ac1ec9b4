//! Trials of contents that have crashed endpoints: one request with such a content runs at a time.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use steer::crash::Fingerprint;

/// Contents on trial.
pub(crate) type Trials = RefCell<HashSet<Fingerprint>>;

/// A trial, which lasts until it is dropped.
#[derive(Debug)]
pub(crate) struct Trial {
    trials: Rc<Trials>,
    content: Fingerprint,
}

impl Trial {
    /// Begins a trial; `None` if one of this content is in progress.
    pub(crate) fn begin(trials: Rc<Trials>, content: Fingerprint) -> Option<Self> {
        let begun = trials.borrow_mut().insert(content);
        begun.then(|| Self { trials, content })
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        self.trials.borrow_mut().remove(&self.content);
    }
}
