//! What to do about an answer that does not go on.
//!
//! The head of a chain knows which stage its requests wait for. A node that hears nothing asks it:
//! a named stage is replaced in the chain that is under way, which costs the tokens that the new
//! stage reads again and no further attempt; a head that does not answer is given up; and an
//! answer that is only slow is left alone, so that load is not doubled where there is too much.

use super::Forwarder;
use super::attempt::Reservation;
use crate::dialect::{Dialect, RerouteOutcome, StatusReport};
use crate::worker::Worker;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use steer::Selector;
use steer::target::Target;
use tokio::time::{Instant, timeout};

/// Silence before the first event after which the head is asked.
pub(crate) const FIRST_EVENT_PROBE_DELAY: Duration = Duration::from_millis(350);
/// Silence between two events after which the head is asked.
pub(crate) const NEXT_EVENT_PROBE_DELAY: Duration = Duration::from_millis(260);
/// Time until it is asked again: what its account is old, and a little.
pub(crate) const PROBE_INTERVAL: Duration = Duration::from_millis(220);
/// Longest wait for its account.
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which one account serves all requests of a head.
const MAX_REPORT_AGE: Duration = Duration::from_millis(100);
/// Silence after which a head that does not answer is given up. One lost packet is sent again
/// within this time.
const UNRESPONSIVE_HEAD_TIMEOUT: Duration = Duration::from_millis(550);
/// Silence after which an answer is given up although nothing is known to be wrong: callers leave
/// after two seconds, and another chain needs some time.
const MAX_IDLE_TIME: Duration = Duration::from_millis(1500);

/// Stages of one chain that are replaced in a row, at the most.
const MAX_REPLACED_STAGES: usize = 4;

/// What came of a look.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// It may go on.
    Wait,
    /// It is given up.
    Abandon(&'static str),
}

/// An engine's account, and how old it is.
#[derive(Clone, Debug)]
pub(crate) struct CachedReport {
    at: Instant,
    report: Option<Rc<StatusReport>>,
}

impl<D: Dialect> Worker<D> {
    /// The account of an engine, not much older than [`FRESH`].
    async fn cached_report(&self, addr: SocketAddr) -> Option<Rc<StatusReport>> {
        let cached = self.status_reports.borrow().get(&addr).cloned();
        let is_fresh = cached
            .as_ref()
            .is_some_and(|c| c.at.elapsed() < MAX_REPORT_AGE);
        let report = cached.and_then(|c| c.report);
        if is_fresh {
            return report;
        }
        // Those that come meanwhile take the old account instead of asking too.
        self.cache_report(addr, report);
        let received = timeout(REPORT_TIMEOUT, self.dialect.status_report(addr)).await;
        let report = received.ok().flatten().map(Rc::new);
        self.cache_report(addr, report.clone());
        report
    }

    fn cache_report(&self, addr: SocketAddr, report: Option<Rc<StatusReport>>) {
        let at = Instant::now();
        let cached = CachedReport { at, report };
        self.status_reports.borrow_mut().insert(addr, cached);
    }
}

impl<D: Dialect> Forwarder<D> {
    /// Asks the head of a silent answer what it waits for. Dropped before its end, it changes
    /// nothing, so that an event which comes meanwhile is passed on at once.
    pub(crate) async fn query_head(&self, target: &Target) -> Option<Rc<StatusReport>> {
        match target.head().span.is_empty() {
            true => None,
            false => self.worker.cached_report(target.head().addr).await,
        }
    }

    /// Decides about an answer that has been silent for `silent`, by its head's account.
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
        if idle > MAX_IDLE_TIME {
            return Verdict::Abandon("fell silent");
        }
        let Some(report) = report else {
            return match chain && idle > UNRESPONSIVE_HEAD_TIMEOUT {
                true => Verdict::Abandon("the head does not answer"),
                false => Verdict::Wait,
            };
        };
        let stall = report.stalls.iter().find(|s| s.request == self.job.id());
        match stall {
            Some(stall) => self.replace_blocked(reservation, stall.blocked_on).await,
            None => Verdict::Wait,
        }
    }

    /// Replaces the stage that a request waits for.
    async fn replace_blocked(
        &self,
        reservation: &mut Reservation<D>,
        stage: SocketAddr,
    ) -> Verdict {
        if !reservation.target.stages.iter().any(|s| s.addr == stage) {
            // An account from before the last detour.
            return Verdict::Wait;
        }
        self.worker
            .with_selector(|selector, now| selector.report_failed(now, stage));
        match self.replace_stages(reservation, stage).await {
            Some(RerouteOutcome::Done) => Verdict::Wait,
            Some(_) => Verdict::Abandon("a stage is dead, and the head can't replace it"),
            None => Verdict::Abandon("a stage is dead, and nothing replaces it"),
        }
    }

    /// Moves an answer off a stage that is about to go and still serves. Where that fails the answer
    /// goes on as it is.
    pub(crate) async fn migrate(&self, reservation: &mut Reservation<D>, stage: SocketAddr) {
        let previous = reservation.target.stages.clone();
        if self.replace_stages(reservation, stage).await == Some(RerouteOutcome::Done) {
            return;
        }
        reservation.target.stages = previous;
        let need = self.job.need();
        self.worker
            .with_selector(|selector, _| selector.revert_reroute(&reservation.target, &need));
    }

    /// Replaces a stage, and each further one that the head names as missing meanwhile: endpoints die, and
    /// give up layers, together.
    async fn replace_stages(
        &self,
        reservation: &mut Reservation<D>,
        stage: SocketAddr,
    ) -> Option<RerouteOutcome> {
        let mut outcome = self.replace_stage(reservation, stage).await?;
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

    /// Takes another endpoint for a stage and orders the head to go on over it; nothing if no endpoint
    /// can.
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
        self.log.record_reroute(stage, &stages, crossings);
        reservation.target.stages = stages;
        let outcome = self
            .worker
            .dialect
            .reroute(self.job.id(), &reservation.target.stages);
        Some(outcome.await)
    }
}
