//! Runs the attempts of a request beside each other until one of them goes on with the response.
//!
//! An idle endpoint may be busy, and the next one may refuse the request, fail or be idle too. So an
//! attempt is not given up before another one has sent the next events or the whole response. An
//! attempt is started when none is left, and when the newest one is idle.

use super::Forwarder;
use super::attempt::{Exchange, Progress, Reservation};
use super::stall;
use crate::dialect::Dialect;
use crate::execution::{self, Permit};
use crate::splice::{EventSource, Step};
use futures::stream::{FuturesUnordered, StreamExt};
use http::{Response, StatusCode};
use memory::content::Content;
use std::rc::Rc;
use std::time::Duration;
use steer::Timestamp;
use steer::budget::Purpose;
use steer::health::Outcome;
use steer::shortage::Shortage;
use tokio::time::Instant;

/// Maximum number of attempts that may fail without having reached an endpoint.
const MAX_UNSENT_ATTEMPTS: u32 = 4;
/// Maximum wait for an endpoint with free capacity when a response is resumed.
const MAX_RESUME_WAIT: Duration = Duration::from_millis(600);

/// What the attempts are for.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Phase {
    /// The caller has no part of the response yet.
    Opening,
    /// The caller has the events up to this one.
    Resuming(Option<u64>),
}

/// Response of the attempt that won.
pub(crate) enum Winner<D: Dialect> {
    /// A buffered response.
    Complete(Response<Content>),
    /// An event stream, and the step that was read from it.
    Events(Box<EventSource<D>>, Step),
}

/// Why no attempt goes on with the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Lost {
    /// No endpoint can take the request.
    Shortage(Shortage),
    /// The request may not be sent again.
    Exhausted,
    /// The deadline passed before an attempt could be started.
    Deadline,
    /// The request's content crashes endpoints, and is not sent before this time.
    Crashing { until: Timestamp },
    /// The node is about to end.
    Aborted,
}

/// An attempt that takes part.
enum Entrant<D: Dialect> {
    /// A request to be sent, and the time from which its idle time counts.
    Request(Reservation<D>, Permit, Instant),
    /// A response that is being received.
    Source(Box<EventSource<D>>),
}

/// How an attempt ended.
enum End<D: Dialect> {
    Won(Winner<D>),
    /// The endpoint responded with an error; another one may do better.
    ServerError(Response<Content>),
    /// The request was not sent.
    Unsent,
    /// The endpoint refused the request, or failed.
    Failed,
}

/// Response that is used if no other attempt does better.
enum Fallback<D: Dialect> {
    ServerError(Response<Content>),
    /// An event stream that ended without a further event.
    Ended(Box<EventSource<D>>),
}

/// Interval between attempts beside an idle one. It doubles with each one that does not help.
struct Pace {
    next: Instant,
    interval: Duration,
}

impl Pace {
    fn new() -> Self {
        Self {
            next: Instant::now(),
            interval: stall::PROBE_INTERVAL,
        }
    }

    fn back_off(&mut self) {
        self.next = Instant::now() + self.interval;
        self.interval = self.interval.saturating_mul(2);
    }
}

impl Phase {
    fn position<D: Dialect>(self, forwarder: &Forwarder<D>) -> Option<u64> {
        match self {
            Self::Opening => forwarder.job.info.last_event_id,
            Self::Resuming(last_event_id) => last_event_id,
        }
    }

    /// Returns the id of the event after which endpoints are asked to resume the response.
    fn resume_after(self) -> Option<u64> {
        match self {
            Self::Opening => None,
            Self::Resuming(last_event_id) => last_event_id,
        }
    }

    /// Returns what an attempt is for that is started when none is left.
    fn purpose(self) -> Purpose {
        match self {
            Self::Opening => Purpose::Answer,
            Self::Resuming(_) => Purpose::Resumption,
        }
    }

    /// Returns the maximum wait for an endpoint with free capacity; `None` for that of a new request.
    fn max_wait(self) -> Option<Duration> {
        match self {
            Self::Opening => None,
            Self::Resuming(_) => Some(MAX_RESUME_WAIT),
        }
    }
}

impl<D: Dialect> Forwarder<D> {
    /// Runs attempts until one goes on with the response. `current` is the source that the response
    /// was read from, if it may still continue.
    pub(crate) async fn race(
        &self,
        current: Option<EventSource<D>>,
        phase: Phase,
    ) -> Result<Winner<D>, Lost> {
        let mut running = FuturesUnordered::new();
        // In the order in which the attempts were started.
        let mut entrants: Vec<Rc<Progress>> = Vec::new();
        let mut fallback = None;
        let mut pace = Pace::new();
        let mut unsent = 0;
        let mut is_first = matches!(phase, Phase::Opening);
        if let Some(source) = current {
            entrants.push(source.progress());
            running.push(self.attempt(Entrant::Source(Box::new(source)), phase));
        }
        loop {
            if running.is_empty() {
                if let Some(Fallback::Ended(source)) = fallback {
                    return Ok(Winner::Events(source, Step::End));
                }
                // A request that may have crashed its endpoint is checked anew.
                let planned = self.planned.take();
                let planned = planned.filter(|_| !self.worker.is_suspect(&self.job));
                let target = match planned {
                    Some(planned) => Ok((planned.reservation, planned.permit)),
                    None if unsent > MAX_UNSENT_ATTEMPTS => Err(Lost::Exhausted),
                    None => self.next_target(phase).await,
                };
                match target {
                    Ok((reservation, permit)) => {
                        let since = match is_first {
                            true => self.job.received_at,
                            false => Instant::now(),
                        };
                        entrants.push(reservation.progress.clone());
                        let entrant = Entrant::Request(reservation, permit, since);
                        running.push(self.attempt(entrant, phase));
                    }
                    Err(lost) => {
                        return match fallback {
                            Some(Fallback::ServerError(r)) => Ok(Winner::Complete(r)),
                            _ => Err(lost),
                        };
                    }
                }
                is_first = false;
            }
            tokio::select! {
                biased;
                Some((progress, end)) = running.next() => {
                    entrants.retain(|e| !Rc::ptr_eq(e, &progress));
                    match end {
                        End::Won(Winner::Events(source, Step::End)) if !running.is_empty() => {
                            // The others may know of further events.
                            fallback = Some(Fallback::Ended(source));
                        }
                        End::Won(winner) => {
                            self.planned.take();
                            self.end_losers(&entrants);
                            return Ok(winner);
                        }
                        End::ServerError(response) => {
                            fallback = Some(Fallback::ServerError(response));
                        }
                        End::Unsent => unsent += 1,
                        End::Failed => {}
                    }
                    pace.back_off();
                }
                () = self.idle.notified() => {
                    if let Some((reservation, permit)) = self.hedge(&entrants, &pace) {
                        entrants.push(reservation.progress.clone());
                        let entrant = Entrant::Request(reservation, permit, Instant::now());
                        running.push(self.attempt(entrant, phase));
                    }
                }
            }
        }
    }

    /// Returns the reservation and the permit of an attempt beside the newest one, if that one is idle and
    /// another attempt is due.
    fn hedge(&self, running: &[Rc<Progress>], pace: &Pace) -> Option<(Reservation<D>, Permit)> {
        let newest = running.last()?;
        let reason = newest.idle_reason.take()?;
        if let Some(planned) = self.planned.take() {
            self.log.record_idle(newest.attempt.get(), reason);
            return Some((planned.reservation, planned.permit));
        }
        if Instant::now() < pace.next {
            return None;
        }
        let hedge = self.hedge_target(running)?;
        self.log.record_idle(newest.attempt.get(), reason);
        // Other requests should not wait for it as well.
        self.worker
            .with_selector(|selector, now| selector.report_idle(now, newest.head.addr));
        Some(hedge)
    }

    /// Takes an attempt from the retry budget, and selects a target.
    async fn next_target(&self, phase: Phase) -> Result<(Reservation<D>, Permit), Lost> {
        if self.job.time_left().is_zero() {
            return Err(Lost::Deadline);
        }
        if let Some(until) = self.refused_until(phase).await {
            return Err(Lost::Crashing { until });
        }
        let permit = self.permit().ok_or(Lost::Exhausted)?;
        if !self.take_from_budget(phase.purpose()) {
            return Err(Lost::Exhausted);
        }
        let target = self.acquire_target(phase.max_wait()).await;
        let target = target.map_err(Lost::Shortage)?;
        let reservation = Reservation::new(self.worker.clone(), target);
        // Endpoints that start again end the wait for capacity, and may show a crash.
        match self.barred_until(phase) {
            Some(until) => Err(Lost::Crashing { until }),
            None => Ok((reservation, permit)),
        }
    }

    /// Reports the attempts that are dropped because another one goes on with the response.
    fn end_losers(&self, losers: &[Rc<Progress>]) {
        let sent = losers.iter().filter(|l| l.attempt.get() > 0);
        for loser in sent {
            let why = "another endpoint went on with the response";
            self.log.record_failure(loser.attempt.get(), why, true);
            if loser.was_idle.get() {
                loser.dropped_as.set(Outcome::Failed);
                self.worker.pool.close_idle(loser.head.addr);
            }
        }
    }

    async fn attempt(&self, entrant: Entrant<D>, phase: Phase) -> (Rc<Progress>, End<D>) {
        match entrant {
            Entrant::Source(source) => (source.progress(), self.follow(source, phase).await),
            Entrant::Request(reservation, permit, since) => {
                let progress = reservation.progress.clone();
                (
                    progress,
                    self.send_and_receive(reservation, permit, since, phase)
                        .await,
                )
            }
        }
    }

    /// Sends a request, and receives its response up to the first events, or completely if it is not
    /// a stream.
    async fn send_and_receive(
        &self,
        reservation: Reservation<D>,
        permit: Permit,
        since: Instant,
        phase: Phase,
    ) -> End<D> {
        let exchange = match self.send(reservation, permit, phase.resume_after()).await {
            Ok(exchange) => exchange,
            Err(failure) if failure.may_have_run() => {
                self.reached.set(true);
                return End::Failed;
            }
            Err(_) => return End::Unsent,
        };
        self.reached.set(true);
        let status = exchange.response.status();
        let is_stream = self.job.kind().stream().is_some() && status == StatusCode::OK;
        if is_stream && !exchange.not_run() {
            let source = Box::new(EventSource::new(exchange, since));
            return self.follow(source, phase).await;
        }
        if exchange.not_run() || matches!(phase, Phase::Resuming(_)) {
            self.end_refused(exchange).await;
            return End::Failed;
        }
        if !self.job.kind().repeatable() {
            self.job.release_body();
        }
        self.receive_complete(exchange).await
    }

    /// Receives the next events of a source.
    async fn follow(&self, mut source: Box<EventSource<D>>, phase: Phase) -> End<D> {
        let position = phase.position(self);
        loop {
            match source.watch(self, position).await {
                Step::Idle(reason) => self.report_idle(&source.progress(), reason),
                // Comments decide nothing between attempts, and are not passed on.
                Step::Events(batch) if !batch.has_content => {}
                Step::Failed(reason) => {
                    self.log.set_reason(reason);
                    source.fail(self, reason);
                    return End::Failed;
                }
                step => return End::Won(Winner::Events(source, step)),
            }
        }
    }

    async fn receive_complete(&self, exchange: Exchange<D>) -> End<D> {
        let status = exchange.response.status();
        let can_retry =
            status.is_server_error() && exchange.info.sealed && self.job.kind().repeatable();
        let progress = exchange.reservation.progress.clone();
        let attempt = progress.attempt.get();
        match self.read_complete(exchange).await {
            None => {
                let why = "response was cut off before its end";
                self.log.record_failure(attempt, why, true);
                self.inquire(&progress);
                End::Failed
            }
            Some(_) if execution::promises(status) => {
                let why = format!("status {status} without a statement that it was not run");
                self.log.record_failure(attempt, &why, true);
                self.log
                    .set_reason("its status promised what it did not state");
                End::Failed
            }
            Some(response) if can_retry => {
                self.log
                    .record_failure(attempt, &format!("status {status}"), true);
                End::ServerError(response)
            }
            Some(response) => End::Won(Winner::Complete(response)),
        }
    }

    /// Reports that another endpoint should be tried beside an attempt.
    pub(crate) fn report_idle(&self, progress: &Progress, reason: &'static str) {
        // The reason for an attempt that is planned already may be a later stage than the head.
        if self.planned.borrow().is_none() {
            progress.was_idle.set(true);
        }
        progress.idle_reason.set(Some(reason));
        self.idle.notify_one();
    }
}
