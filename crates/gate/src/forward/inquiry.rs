//! Inquiries into attempts whose connection broke: whether the endpoint crashed under the request.

use super::Forwarder;
use super::attempt::Progress;
use super::race::Phase;
use crate::dialect::Dialect;
use crate::probe::Finding;
use std::time::Duration;
use steer::Timestamp;
use steer::crash::{Case, Verdict};
use tokio::time::Instant;

/// Whether an attempt may be started.
enum Turn {
    Now,
    /// Once another request with a feature of this one has ended.
    Later,
    /// Not before this time.
    Refused(Timestamp),
}

/// Retry-after delay while another request with the same content is on trial.
const TRIAL_RETRY_AFTER: Duration = Duration::from_secs(1);

impl<D: Dialect> Forwarder<D> {
    /// Finds out whether the head of a broken attempt has ended, and records it. This is done in a
    /// task of its own, since the caller may leave meanwhile.
    pub(crate) fn inquire(&self, broken: &Progress) {
        let head = &broken.head;
        // An endpoint that leaves may end with requests in flight.
        let serving = self
            .worker
            .with_selector(|selector, _| selector.is_serving(&head.run));
        if !serving {
            return;
        }
        let worker = self.worker.clone();
        let features = self.job.features();
        let record = self.log.broken(broken.attempt.get(), &head.run, features);
        let earlier_crashes = broken.earlier_crashes.take();
        let earlier_crashes = earlier_crashes.into_iter().chain(std::iter::repeat(0));
        let crashes = earlier_crashes.map(|earlier| earlier.saturating_add(1));
        let case = Case {
            run: head.run.clone(),
            addr: head.addr,
            known: worker.with_selector(|selector, _| selector.runs_at(head.addr)),
            features: features.iter().copied().zip(crashes).collect(),
            broke_at: worker.now(),
            refused: false,
        };
        let inquiry = tokio::task::spawn_local(async move {
            let witnesses = || worker.witnesses(&case.run);
            let finding = worker.probes.probe(&case.run, case.addr, witnesses).await;
            record.end(finding);
            match finding {
                Finding::Ended => worker.record_end(&case),
                Finding::Refused | Finding::Nothing => worker.open_case(Case {
                    refused: finding == Finding::Refused,
                    ..case
                }),
            }
        });
        self.inquiries.borrow_mut().push(inquiry);
    }

    /// Waits for the inquiries into the attempts of this request, so that the next one is judged by
    /// their outcome.
    async fn finish_inquiries(&self) {
        for inquiry in self.inquiries.take() {
            // An inquiry fails only if the process ends.
            let _ = inquiry.await;
        }
    }

    /// Waits until an attempt may be started. Returns until when none may be because the request's
    /// content crashes endpoints; `None` if one may be started now.
    pub(crate) async fn refused_until(&self, phase: Phase) -> Option<Timestamp> {
        self.finish_inquiries().await;
        let deadline = Instant::now() + self.max_queue_time();
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            match self.turn(phase) {
                Turn::Later if !left.is_zero() => self.worker.trials.wait_for_end(left).await,
                turn => return self.refusal_end(turn),
            }
        }
    }

    /// Returns until when the attempt that is about to be started must not be, after what became known
    /// since [`Self::refused_until`]; `None` if it may be started.
    pub(crate) fn barred_until(&self, phase: Phase) -> Option<Timestamp> {
        self.refusal_end(self.turn(phase))
    }

    fn refusal_end(&self, turn: Turn) -> Option<Timestamp> {
        match turn {
            Turn::Now => None,
            Turn::Later => Some(self.trial_end()),
            Turn::Refused(until) => Some(until),
        }
    }

    /// Returns when the trial in progress is likely to have ended.
    fn trial_end(&self) -> Timestamp {
        self.worker.now().saturating_add(TRIAL_RETRY_AFTER)
    }

    /// Returns whether an attempt may be started now, and if so makes the request the trial of the
    /// features that may crash endpoints.
    fn turn(&self, phase: Phase) -> Turn {
        match (self.worker.verdict(&self.job), phase) {
            (Verdict::Condemned(until), _) => Turn::Refused(until),
            (_, Phase::Resuming(_)) => Turn::Now,
            (Verdict::Suspended(until), Phase::Opening) => Turn::Refused(until),
            (Verdict::OnTrial, Phase::Opening) => {
                // A trial ends with the first attempt that reaches an endpoint, also if it is refused.
                match !self.reached.get() && self.begin_trial() {
                    true => Turn::Now,
                    false => Turn::Refused(self.trial_end()),
                }
            }
            (Verdict::Allowed, Phase::Opening) => {
                match !self.worker.is_suspect(&self.job) || self.begin_trial() {
                    true => Turn::Now,
                    false => Turn::Later,
                }
            }
        }
    }

    /// Makes this request the trial of its content. Returns whether no other request is.
    fn begin_trial(&self) -> bool {
        if self.trial.get().is_some() {
            return true;
        }
        let trial = self.worker.begin_trial(&self.job);
        trial.is_some_and(|trial| self.trial.set(trial).is_ok())
    }
}
