//! Handles responses that stall.
//!
//! The head of a chain knows which stage its requests wait for, so a node that receives no data
//! asks it. A stage that the head reports is replaced in the chain in flight, which costs only the
//! prefill of the tokens so far on the new stage and no further attempt. If the head does not
//! respond, another endpoint is tried beside it. A response that is merely slow is left alone,
//! because a retry would double the load when the fleet is overloaded.

use super::Forwarder;
use super::attempt::Reservation;
use crate::dialect::{Dialect, RerouteOutcome, StatusReport};
use crate::worker::Worker;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use steer::Selector;
use steer::target::{Stage, Target};
use tokio::time::{Instant, timeout};

/// Idle time before the first event after which the head is queried.
pub(crate) const FIRST_EVENT_PROBE_DELAY: Duration = Duration::from_millis(350);
/// Idle time between two events after which the head is queried.
pub(crate) const NEXT_EVENT_PROBE_DELAY: Duration = Duration::from_millis(260);
/// Time until the head is queried again. Slightly longer than the age of a status report, so that
/// the next report is a newer one.
pub(crate) const PROBE_INTERVAL: Duration = Duration::from_millis(220);
/// Timeout of a status report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);
/// Age up to which a status report is reused for other requests of the same head.
const MAX_REPORT_AGE: Duration = Duration::from_millis(100);
/// Idle time after which another endpoint is tried beside an unresponsive head. A lost packet is
/// retransmitted within this time.
const UNRESPONSIVE_HEAD_TIMEOUT: Duration = Duration::from_millis(550);
/// Idle time after which another endpoint is tried although no fault is known. Callers leave after
/// two seconds, and another chain needs part of that time.
const MAX_IDLE_TIME: Duration = Duration::from_millis(1500);

/// Maximum number of stages of one chain that are replaced in a row.
const MAX_REPLACED_STAGES: usize = 4;

/// Result of assessing an idle response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// The response may continue.
    Wait,
    /// Another endpoint should be tried, for this reason.
    Failover(&'static str),
}

/// The status report of an engine and when it was received; `None` if the engine did not respond.
#[derive(Clone, Debug)]
pub(crate) struct CachedReport {
    received_at: Instant,
    report: Option<Rc<StatusReport>>,
}

impl<D: Dialect> Worker<D> {
    /// Returns the status report of an engine, from the cache if it is younger than
    /// [`MAX_REPORT_AGE`].
    async fn cached_report(&self, addr: SocketAddr) -> Option<Rc<StatusReport>> {
        let cached = self.status_reports.borrow().get(&addr).cloned();
        let is_fresh = cached
            .as_ref()
            .is_some_and(|c| c.received_at.elapsed() < MAX_REPORT_AGE);
        let report = cached.and_then(|c| c.report);
        if is_fresh {
            return report;
        }
        // Concurrent requests use the old report instead of querying the engine as well.
        self.cache_report(addr, report);
        let received = timeout(REPORT_TIMEOUT, self.dialect.status_report(addr)).await;
        let report = received.ok().flatten().map(Rc::new);
        self.cache_report(addr, report.clone());
        report
    }

    fn cache_report(&self, addr: SocketAddr, report: Option<Rc<StatusReport>>) {
        let received_at = Instant::now();
        let cached = CachedReport {
            received_at,
            report,
        };
        self.status_reports.borrow_mut().insert(addr, cached);
    }
}

impl<D: Dialect> Forwarder<D> {
    /// Asks the head of an idle response what it waits for. Cancelling it has no effect, so that an
    /// event that arrives meanwhile is forwarded at once.
    pub(crate) async fn query_head(&self, target: &Target) -> Option<Rc<StatusReport>> {
        let head = target.head();
        if head.span.is_empty() {
            return None;
        }
        let report = self.worker.cached_report(head.addr).await;
        if report.as_ref().is_some_and(|r| r.leaving) {
            self.worker.record_leaving(head);
        }
        report
    }

    /// Decides about a response that has been idle for `idle`, based on the status report of its
    /// head.
    pub(crate) async fn assess(
        &self,
        reservation: &mut Reservation<D>,
        report: Option<Rc<StatusReport>>,
        idle: Duration,
    ) -> Verdict {
        let chain = !reservation.target.head().span.is_empty();
        if !chain && self.job.kind().stream().is_none() {
            return Verdict::Wait;
        }
        let stalls = report.iter().flat_map(|r| &r.stalls);
        let stall = stalls.into_iter().find(|s| s.request == self.job.id());
        if let Some(stall) = stall
            && let Some(verdict) = self.replace_blocked(reservation, stall.blocked_on).await
        {
            return verdict;
        }
        if idle > MAX_IDLE_TIME {
            return Verdict::Failover("idle for too long");
        }
        if report.is_none() && chain && idle > UNRESPONSIVE_HEAD_TIMEOUT {
            self.suspect_paths();
            return Verdict::Failover("head of the chain is unresponsive");
        }
        Verdict::Wait
    }

    /// Replaces the stage that a request is blocked on; `None` if the report that names it is older
    /// than the last reroute.
    async fn replace_blocked(
        &self,
        reservation: &mut Reservation<D>,
        stage: SocketAddr,
    ) -> Option<Verdict> {
        let runs_through = |stages: &[Stage]| stages.iter().any(|s| s.addr == stage);
        if !runs_through(&reservation.target.stages) {
            // The last order got no response. The report shows that it was not carried out.
            let previous = reservation.unconfirmed.take_if(|p| runs_through(p))?;
            self.revert(reservation, previous);
        }
        self.worker
            .with_selector(|selector, now| selector.report_failed(now, stage));
        Some(match self.migrate(reservation, stage).await {
            Some(RerouteOutcome::Done) => Verdict::Wait,
            Some(_) => Verdict::Failover("a stage failed and the head could not replace it"),
            None => Verdict::Failover("a stage failed and has no replacement"),
        })
    }

    /// Moves a response off a stage. If the head does not do so, the response continues on the old
    /// stages. An order without a response may have been carried out, so both are kept.
    pub(crate) async fn migrate(
        &self,
        reservation: &mut Reservation<D>,
        stage: SocketAddr,
    ) -> Option<RerouteOutcome> {
        let previous = reservation.target.stages.clone();
        let outcome = match self.replace_stage(reservation, stage).await {
            Some(outcome) => self.replace_missing(reservation, outcome).await,
            None => None,
        };
        self.settle(reservation, previous, outcome);
        outcome
    }

    /// Keeps the stages that the outcome of an order allows.
    pub(crate) fn settle(
        &self,
        reservation: &mut Reservation<D>,
        previous: Vec<Stage>,
        outcome: Option<RerouteOutcome>,
    ) {
        match outcome {
            Some(RerouteOutcome::Done) => reservation.unconfirmed = None,
            Some(RerouteOutcome::Failed) => reservation.unconfirmed = Some(previous),
            Some(RerouteOutcome::Missing(_)) | None => self.revert(reservation, previous),
        }
    }

    /// Reserves the stages before an order that was not carried out.
    fn revert(&self, reservation: &mut Reservation<D>, previous: Vec<Stage>) {
        reservation.target.stages = previous;
        let need = self.job.need();
        self.worker
            .with_selector(|selector, _| selector.revert_reroute(&reservation.target, &need));
    }

    /// Replaces further stages that the head reports as missing in response to an order. Endpoints
    /// fail, and release layers, in groups.
    pub(crate) async fn replace_missing(
        &self,
        reservation: &mut Reservation<D>,
        mut outcome: RerouteOutcome,
    ) -> Option<RerouteOutcome> {
        for _ in 1..MAX_REPLACED_STAGES {
            let RerouteOutcome::Missing(next) = outcome else {
                break;
            };
            self.worker
                .with_selector(|selector, now| selector.report_missing(now, next));
            outcome = self.replace_stage(reservation, next).await?;
        }
        Some(outcome)
    }

    /// Selects another endpoint for a stage and orders the head to continue over it; `None` if no
    /// endpoint is available.
    async fn replace_stage(
        &self,
        reservation: &mut Reservation<D>,
        stage: SocketAddr,
    ) -> Option<RerouteOutcome> {
        let need = self.job.need();
        let service = self.current_service();
        let target = &reservation.target;
        let reroute =
            |selector: &mut Selector, now| selector.reroute(now, target, service?, &need, stage);
        let stages = self.worker.with_selector(reroute).ok()?;
        let crossings = self.crossings(&stages);
        self.log
            .record_reroute(reservation.attempt(), stage, &stages, crossings);
        reservation.target.stages = stages;
        let outcome = self
            .worker
            .dialect
            .reroute(self.job.id(), &reservation.target.stages);
        Some(outcome.await)
    }
}
