//! Sends a request to endpoints until one answers, as far as it may be repeated.

pub mod attempt;
pub mod migration;
pub mod request_log;
pub mod stall;

use crate::admit;
use crate::body::{self, Body};
use crate::dialect::{Dialect, ResponseInfo};
use crate::job::Job;
use crate::pool::Conn;
use crate::refusal::{Reason, Refusal};
use crate::splice::{self, Chunk, EventSource};
use crate::worker::{InFlightGuard, Worker};
use attempt::{Exchange, Failure, Reservation};
use bytes::Bytes;
use catalog::ServiceId;
use catalog::kind::Kind;
use futures::Stream;
use http::{Response, StatusCode};
use http_body_util::BodyExt;
use rand::RngExt;
use request_log::RequestLog;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use steer::health::Outcome;
use steer::shortage::Shortage;
use steer::{Selector, Timestamp};
use tokio::time::timeout;

/// Attempts that may end without having reached an endpoint.
const MAX_UNSENT_ATTEMPTS: u32 = 4;
/// Part of the route's target time that a request waits for room: past it another node, asked
/// again by the caller, is as likely to have room as this one.
const MAX_QUEUE_TIME_FRACTION: f64 = 0.4;
/// Time in which an idempotent request that was not answered is sent to another endpoint, as a
/// multiple of the route's target time.
const HEAD_TIMEOUT_FACTOR: f64 = 1.5;
/// Bytes of an answer that are gathered before it is passed on.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Longest body of a refusal that is read to keep its connection.
const MAX_DRAINED_BYTES: usize = 64 << 10;
/// Longest time for that.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(100);
/// When to come back if all endpoints are full: a part of what an answer takes.
const RETRY_AFTER_FULL: Duration = Duration::from_millis(400);
/// When to come back if endpoints are missing: about what an endpoint takes to load its layers.
const RETRY_AFTER_MISSING: Duration = Duration::from_millis(800);
/// When to come back if nothing is large enough: an endpoint more is needed.
const RETRY_AFTER_TOO_LARGE: Duration = Duration::from_secs(3);

/// A request under way.
pub(crate) struct Forwarder<D: Dialect> {
    pub(crate) worker: Rc<Worker<D>>,
    pub(crate) job: Job,
    pub(crate) log: RequestLog,
    /// Endpoints that it was sent to.
    pub(crate) tried: Vec<catalog::endpoint::Run>,
    /// Attempts that may have run.
    pub(crate) possible_runs: u32,
    /// Whether an attempt has reached an endpoint, so that the next one is a further arrival.
    pub(crate) reached: bool,
    pub(crate) _flight: InFlightGuard,
}

/// What a caller gets.
enum Reply<D: Dialect> {
    /// An endpoint's whole answer.
    Complete(Response<Bytes>),
    /// An endpoint's answer that comes in events.
    Events(Box<EventSource<D>>),
    /// The node's own.
    Refused(Refusal),
}

/// Runs a request to its answer.
pub(crate) async fn run<D: Dialect>(
    worker: Rc<Worker<D>>,
    job: Job,
    guard: InFlightGuard,
) -> Response<Body<impl Stream<Item = Chunk>>> {
    let log = RequestLog::new(worker.journal.clone(), worker.metrics.clone(), &job);
    let service = job.service().name.clone();
    worker.with_selector(|selector, now| selector.record_request(now, &service));
    let mut forwarder = Forwarder {
        worker,
        job,
        log,
        tried: Vec::new(),
        possible_runs: 0,
        reached: false,
        _flight: guard,
    };
    match forwarder.run_attempts().await {
        Reply::Refused(refusal) => {
            forwarder.log.end_refused(refusal);
            refusal.response()
        }
        Reply::Complete(answer) => {
            forwarder.log.end_answered(answer.status().as_u16());
            answer.map(body::full)
        }
        Reply::Events(source) => {
            let head = source.head();
            let mut response = Response::new(body::stream(splice::stream(forwarder, *source)));
            *response.status_mut() = head.status;
            *response.headers_mut() = head.headers;
            response
        }
    }
}

impl<D: Dialect> Forwarder<D> {
    async fn run_attempts(&mut self) -> Reply<D> {
        let mut unsent = 0;
        loop {
            if self.job.time_left().is_zero() {
                return Reply::Refused(Refusal::new(self.timeout_reason()));
            }
            let target = match self.acquire_target(None).await {
                Ok(target) => target,
                Err(shortage) => return Reply::Refused(self.refuse_for_shortage(shortage)),
            };
            let reservation = Reservation::new(self.worker.clone(), target);
            let limit = self.head_timeout();
            match self.send(reservation, None, limit).await {
                Ok(exchange) => {
                    if let Some(reply) = self.handle_response(exchange).await {
                        return reply;
                    }
                }
                Err(failure) => {
                    if failure.may_have_run() {
                        self.possible_runs += 1;
                    } else {
                        unsent += 1;
                    }
                    if failure.may_have_run() && !self.job.kind().repeatable() {
                        let late = failure == Failure::TimedOut && self.job.time_left().is_zero();
                        let reason = if late {
                            Reason::TimedOut
                        } else {
                            Reason::OutcomeUnknown
                        };
                        return Reply::Refused(Refusal::new(reason));
                    }
                    if unsent > MAX_UNSENT_ATTEMPTS || !self.try_retry(failure.may_have_run()) {
                        return Reply::Refused(self.exhausted());
                    }
                }
            }
        }
    }

    /// What an endpoint's head leads to; nothing if the request is sent again.
    async fn handle_response(&mut self, exchange: Exchange<D>) -> Option<Reply<D>> {
        let status = exchange.response.status();
        if exchange.not_run() {
            self.end_refused(exchange).await;
            return self.retry_or_refuse();
        }
        self.possible_runs += 1;
        let stream = self.job.kind().stream().is_some() && status == StatusCode::OK;
        if stream {
            return Some(Reply::Events(Box::new(EventSource::new(exchange))));
        }
        let repeat = status.is_server_error() && self.job.kind().repeatable();
        let info = exchange.info.clone();
        let Some(answer) = self.read_complete(exchange).await else {
            self.log.record_failure("the answer broke off", true);
            if !self.job.kind().repeatable() {
                return Some(Reply::Refused(Refusal::new(Reason::OutcomeUnknown)));
            }
            return self.retry_or_refuse();
        };
        if repeat && info.sealed && self.job.time_left() > Duration::ZERO && self.try_retry(true) {
            self.log.record_failure(&format!("status {status}"), true);
            return None;
        }
        Some(Reply::Complete(answer))
    }

    /// Reads an answer to its end; nothing if it broke off.
    async fn read_complete(&mut self, exchange: Exchange<D>) -> Option<Response<Bytes>> {
        let Exchange {
            conn,
            response,
            info,
            reservation,
        } = exchange;
        let (mut parts, body) = response.into_parts();
        let body = http_body_util::Limited::new(body, MAX_BODY_BYTES).collect();
        let body = timeout(self.job.time_left(), body).await;
        let Ok(Ok(body)) = body else {
            reservation.end(Outcome::Failed, None);
            return None;
        };
        reservation.end(Outcome::Success, None);
        if !closes_connection(&parts.headers) {
            self.worker.pool.put(conn, info.idle_timeout);
        }
        parts.headers = admit::returned(&parts.headers);
        Some(Response::from_parts(parts, body.to_bytes()))
    }

    /// Gives up an attempt whose endpoint refused it.
    pub(crate) async fn end_refused(&mut self, exchange: Exchange<D>) {
        let status = exchange.response.status();
        let not_run = exchange.not_run();
        self.log
            .record_failure(&describe_refusal(status, not_run, &exchange.info), !not_run);
        let outcome = refusal_outcome(status, &exchange.info);
        let Exchange {
            conn,
            response,
            info,
            reservation,
        } = exchange;
        reservation.end(outcome, info.faulty_stage);
        self.drain_body(conn, response, &info).await;
    }

    /// Reads the short body of a refusal, so that its connection can be used again.
    async fn drain_body(
        &self,
        conn: Conn,
        response: Response<hyper::body::Incoming>,
        info: &ResponseInfo,
    ) {
        let closes_connection = closes_connection(response.headers());
        let body = http_body_util::Limited::new(response.into_body(), MAX_DRAINED_BYTES).collect();
        let read = timeout(self.job.time_left().min(DRAIN_TIMEOUT), body).await;
        if matches!(read, Ok(Ok(_))) && !closes_connection {
            self.worker.pool.put(conn, info.idle_timeout);
        }
    }

    /// Nothing if the request is sent once more after an attempt that reached an endpoint, or else
    /// the answer that ends it.
    fn retry_or_refuse(&mut self) -> Option<Reply<D>> {
        match self.try_retry(true) {
            true => None,
            false => Some(Reply::Refused(self.exhausted())),
        }
    }

    /// Whether the request may be sent once more; `arrived` if the last attempt counts as one
    /// that reached an endpoint.
    pub(crate) fn try_retry(&mut self, reached: bool) -> bool {
        self.reached |= reached;
        if self.possible_runs >= self.job.route().max_attempts {
            return false;
        }
        if !self.reached {
            return true;
        }
        let service = self.job.service().name.clone();
        let granted = self
            .worker
            .with_selector(|selector, now| selector.try_retry(now, &service));
        if granted {
            crate::stats::increment(&self.worker.stats.retries);
        } else {
            self.log
                .set_reason("the budget for further attempts is used up");
        }
        granted
    }

    /// A target, after a wait for room if it must be; `patience` bounds the wait.
    pub(crate) async fn acquire_target(
        &mut self,
        max_wait: Option<Duration>,
    ) -> Result<steer::target::Target, Shortage> {
        let started = tokio::time::Instant::now();
        let usual = self
            .job
            .route()
            .latency_target
            .mul_f64(MAX_QUEUE_TIME_FRACTION);
        let max_wait = max_wait.unwrap_or(usual).min(self.job.time_left());
        let need = self.job.need();
        loop {
            let found = self.query_untried(|selector, now, service, tried| {
                selector.select(now, service, &need, tried)
            });
            let shortage = match found {
                Ok(target) => {
                    self.worker.metrics.record_queue_time(started.elapsed());
                    return Ok(target);
                }
                Err(shortage) => shortage,
            };
            let waited = started.elapsed();
            if shortage == Shortage::Size || waited >= max_wait {
                return Err(shortage);
            }
            self.worker.wait_for_capacity(max_wait - waited).await;
        }
    }

    /// Whether the request could go on elsewhere now. An answer that is only silent is not given up
    /// before that: the endpoint may still go on, and a caller whose answer is cut has nothing.
    pub(crate) fn can_fail_over(&self) -> bool {
        self.possible_runs + 1 < self.job.route().max_attempts && self.can_resume()
    }

    /// The same for an answer that has begun, whose run is counted already.
    pub(crate) fn can_resume(&self) -> bool {
        if !self.job.kind().repeatable() || self.possible_runs >= self.job.route().max_attempts {
            return false;
        }
        let service = &self.job.service().name;
        if !self
            .worker
            .with_selector(|selector, now| selector.can_retry(now, service))
        {
            return false;
        }
        let need = self.job.need();
        let found = self.query_untried(|selector, now, service, tried| {
            selector.can_select(now, service, &need, tried)
        });
        found.is_ok()
    }

    /// Asks for endpoints that were not tried, or else for any.
    fn query_untried<T>(
        &self,
        query: impl Fn(
            &mut Selector,
            Timestamp,
            ServiceId,
            &[catalog::endpoint::Run],
        ) -> steer::Result<T>,
    ) -> steer::Result<T> {
        let service = self.current_service()?;
        let tried = &self.tried;
        self.worker
            .with_selector(|selector, now| match query(selector, now, service, tried) {
                Err(_) if !tried.is_empty() => query(selector, now, service, &[]),
                found => found,
            })
    }

    /// The id of the job's service in the catalog that is in force now, which may be a later one
    /// than the job's own.
    pub(crate) fn current_service(&self) -> steer::Result<ServiceId> {
        let name = &self.job.service().name;
        let now = self.worker.view();
        let catalog = now.as_ref().map(|v| &v.fleet.catalog);
        match catalog {
            Some(c) if Arc::ptr_eq(c, &self.job.catalog) => Ok(self.job.service),
            Some(c) => c.service_id(name).ok_or(Shortage::Endpoints),
            None => Err(Shortage::Endpoints),
        }
    }

    /// Longest wait for an answer's head.
    fn head_timeout(&self) -> Duration {
        let left = self.job.time_left();
        let last = self.possible_runs + 1 >= self.job.route().max_attempts;
        match self.job.kind() {
            Kind::Idempotent if !last => {
                left.min(self.job.route().latency_target.mul_f64(HEAD_TIMEOUT_FACTOR))
            }
            _ => left,
        }
    }

    /// The reason when the time is over.
    fn timeout_reason(&self) -> Reason {
        match self.possible_runs {
            0 => Reason::ExpiredNotRun,
            _ => Reason::TimedOut,
        }
    }

    /// The answer when no further attempt is made.
    fn exhausted(&self) -> Refusal {
        match self.possible_runs {
            0 => Refusal::with_retry_after(Reason::Unavailable, jitter(RETRY_AFTER_FULL)),
            _ if self.job.time_left().is_zero() => Refusal::new(Reason::TimedOut),
            _ => Refusal::new(Reason::OutcomeUnknown),
        }
    }

    /// The answer when no endpoint can take it.
    fn refuse_for_shortage(&mut self, shortage: Shortage) -> Refusal {
        self.log.set_reason(shortage.as_str());
        let scarcity = self.current_service().map(|service| {
            self.worker
                .with_selector(|selector, now| selector.scarcity(now, service))
        });
        self.log
            .record_shortage(shortage, &scarcity.unwrap_or_default());
        if self.possible_runs > 0 {
            return Refusal::new(Reason::OutcomeUnknown);
        }
        let after = match shortage {
            Shortage::Capacity => RETRY_AFTER_FULL,
            Shortage::Endpoints | Shortage::Layers => RETRY_AFTER_MISSING,
            Shortage::Size => RETRY_AFTER_TOO_LARGE,
        };
        Refusal::with_retry_after(Reason::Unavailable, jitter(after))
    }
}

/// A refusal in words, with the stage that the head of a chain names.
fn describe_refusal(status: StatusCode, not_run: bool, info: &ResponseInfo) -> String {
    let run = if not_run { ", not run" } else { "" };
    let culprit = info.faulty_stage.map(|c| format!(", for {c}"));
    format!(
        "status {}{run}{}",
        status.as_u16(),
        culprit.unwrap_or_default()
    )
}

/// What a refusal says of the endpoint that it is about.
fn refusal_outcome(status: StatusCode, info: &ResponseInfo) -> Outcome {
    match status {
        StatusCode::MISDIRECTED_REQUEST => Outcome::Misdirected,
        _ if info.faulty_stage.is_some() => Outcome::Missing,
        _ => Outcome::Full,
    }
}

/// Spreads the return of callers that were refused together over once to twice the time.
pub(crate) fn jitter(after: Duration) -> Duration {
    after.mul_f64(rand::rng().random_range(1.0..2.0))
}

/// Whether an endpoint closes the connection after its answer.
pub(crate) fn closes_connection(headers: &http::HeaderMap) -> bool {
    let values = headers.get_all(http::header::CONNECTION).iter();
    let mut values = values.filter_map(|v| v.to_str().ok());
    values.any(|v| v.to_ascii_lowercase().contains("close"))
}
