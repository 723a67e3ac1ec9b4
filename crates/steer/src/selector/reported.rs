//! Outcomes that are known before an attempt ends.

use super::{FAILURES_TO_PUBLISH, Selector, record_outcome};
use crate::Timestamp;
use crate::health::Outcome;
use crate::row::Row;
use std::net::SocketAddr;

impl Selector {
    /// Records that an engine reported its chain as waiting for the endpoint at `addr`, and ejects
    /// the endpoint. Such a report is more reliable than a failed attempt, so the first one is
    /// published to the other nodes.
    pub fn report_failed(&mut self, now: Timestamp, addr: SocketAddr) {
        self.record_at(now, addr, 1, |_| Outcome::Failed);
    }

    /// Records that the endpoint at `addr` is idle while a request waits for it. This counts like an
    /// attempt that failed.
    pub fn report_idle(&mut self, now: Timestamp, addr: SocketAddr) {
        self.record_at(now, addr, FAILURES_TO_PUBLISH, |_| Outcome::Failed);
    }

    /// Records that the head of a chain reported the endpoint at `addr` as missing.
    pub fn report_missing(&mut self, now: Timestamp, addr: SocketAddr) {
        let nodes = self.nodes();
        self.record_at(now, addr, FAILURES_TO_PUBLISH, |row| {
            row.judge_missing(now, nodes)
        });
    }

    /// Records the outcome of the endpoint at an address as of now; see [`record_outcome`].
    fn record_at(
        &mut self,
        now: Timestamp,
        addr: SocketAddr,
        min_failures: u32,
        outcome: impl Fn(&mut Row) -> Outcome,
    ) {
        let rows = self.rows.iter_mut().filter(|r| r.endpoint.addr == addr);
        let transitions = rows.filter_map(|row| {
            let outcome = outcome(row);
            record_outcome(row, now, now, outcome, min_failures)
        });
        self.transitions.extend(transitions);
    }
}
