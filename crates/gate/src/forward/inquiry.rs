//! Inquiries into attempts whose connection broke: whether the endpoint has ended under the request.

use super::Forwarder;
use super::attempt::Progress;
use crate::dialect::Dialect;

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
        let (worker, addr) = (self.worker.clone(), head.addr);
        let record = self
            .log
            .broken(broken.attempt.get(), &head.run, self.job.fingerprint());
        tokio::task::spawn_local(async move {
            record.end(worker.probes.has_ended(addr).await);
        });
    }
}
