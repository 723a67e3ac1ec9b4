//! What a worker knows of requests that crash endpoints.

use super::Worker;
use crate::dialect::Dialect;
use crate::job::Job;
use crate::probe::Witnesses;
use crate::trial::Trial;
use catalog::Endpoint;
use catalog::endpoint::Run;
use journal::event::Event;
use std::time::Duration;
use steer::crash::{Case, Finding, Fingerprint, Verdict};
use steer::transition::Transition;

impl<D: Dialect> Worker<D> {
    /// Returns whether requests with the features of `job` may be sent to endpoints.
    pub(crate) fn verdict(&self, job: &Job) -> Verdict {
        self.view();
        let crashes = self.crashes.borrow();
        crashes.verdict(self.now(), || job.features())
    }

    /// Returns the number of endpoints that each feature of `job` has crashed in a row; empty if
    /// nothing is recorded of any request.
    pub(crate) fn crashes(&self, job: &Job) -> Vec<u8> {
        self.view();
        let crashes = self.crashes.borrow();
        if crashes.is_empty() {
            return Vec::new();
        }
        let features = job.features().iter();
        let now = self.now();
        features.map(|&f| crashes.crashes(now, f)).collect()
    }

    /// Returns whether a feature of `job` may crash endpoints.
    pub(crate) fn is_suspect(&self, job: &Job) -> bool {
        !self.suspects(job).is_empty()
    }

    /// Returns the features of `job` that may crash endpoints.
    fn suspects(&self, job: &Job) -> Vec<Fingerprint> {
        self.view();
        let (crashes, cases) = (self.crashes.borrow(), self.cases.borrow());
        if crashes.is_empty() && cases.is_empty() {
            return Vec::new();
        }
        let now = self.now();
        let is_suspect =
            |f: &Fingerprint| crashes.crashes(now, *f) > 0 || cases.is_suspect(now, *f);
        let features = job.features().iter().copied();
        features.filter(is_suspect).collect()
    }

    /// Begins a trial of the features of `job` that may crash endpoints; `None` if one is in progress.
    pub(crate) fn begin_trial(&self, job: &Job) -> Option<Trial> {
        Trial::begin(self.trials.clone(), self.suspects(job))
    }

    /// Returns endpoints that show whether this node has paths, for a probe of `run`.
    pub(crate) fn witnesses(&self, run: &Run) -> Witnesses {
        self.with_selector(|selector, now| Witnesses {
            beside: selector.sample_beside(now, run),
            elsewhere: selector.sample_elsewhere(run),
        })
    }

    /// Records that the run of a broken attempt has ended.
    pub(crate) fn record_end(&self, case: &Case) {
        for &(feature, crashes) in &case.features {
            self.record_finding(feature, Finding::Crashed(crashes));
        }
    }

    /// Records that it is not known whether the run of a broken attempt has ended.
    pub(crate) fn open_case(&self, case: Case) {
        self.cases.borrow_mut().open(case);
    }

    /// Records that a run responded to a request which was sent at `sent_at`.
    pub(crate) fn record_alive(&self, run: &Run, sent_at: Duration) {
        self.cases.borrow_mut().acquit(run, sent_at);
    }

    /// Records the crashes that the registered endpoints show.
    pub(super) fn settle_cases(&self, now: Duration, endpoints: &[Endpoint]) {
        let selector = self.selector.borrow();
        let has_left = |run: &Run| selector.has_announced(run);
        let ended = self.cases.borrow_mut().settle(now, endpoints, has_left);
        for case in ended {
            self.journal.record(Event::Settled {
                run: case.run.to_string(),
                content: case
                    .features
                    .first()
                    .map_or_else(String::new, |(f, _)| format!("{f:016x}")),
            });
            self.record_end(&case);
        }
    }

    /// Records that a request completed.
    pub(crate) fn record_completed(&self, job: &Job) {
        if self
            .crashes(job)
            .first()
            .is_some_and(|&crashes| crashes > 0)
        {
            self.record_finding(job.fingerprint(), Finding::Completed);
        }
        let mut cases = self.cases.borrow_mut();
        job.features().iter().for_each(|&f| cases.clear(f));
        let now = self.now();
        for &part in job.parts() {
            if self.crashes.borrow_mut().prove(now, part) {
                self.send(Transition::Content(part, Finding::Completed));
            }
        }
    }

    fn record_finding(&self, content: Fingerprint, finding: Finding) {
        let now = self.now();
        if self.crashes.borrow_mut().record(now, content, finding) {
            self.send(Transition::Content(content, finding));
        }
    }
}
