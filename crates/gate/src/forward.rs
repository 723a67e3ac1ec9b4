//! Forwards a request to endpoints until one responds, with retries where the route allows them.

mod acquire;
pub mod attempt;
pub(crate) mod evacuation;
mod inquiry;
pub mod migration;
pub mod race;
mod relay;
pub mod request_log;
pub mod stall;

use crate::admit;
use crate::body::{self, Body};
use crate::dialect::{Dialect, ResponseInfo};
use crate::execution::{self, Denial, Ledger, Permit};
use crate::job::Job;
use crate::pool::Conn;
use crate::refusal::{Reason, Refusal};
use crate::splice::{self, Chunk};
use crate::stats::Guard;
use crate::trial::Trial;
use crate::worker::Worker;
use acquire::RETRY_AFTER_FULL;
use attempt::{Exchange, Progress, Reservation};
use catalog::ServiceId;
use catalog::endpoint::Run;
use catalog::kind::Kind;
use evacuation::PlannedAttempt;
use futures::future::Either;
use futures::{Stream, StreamExt};
use http::{Response, StatusCode};
use memory::content::Content;
use race::{Lost, Phase, Winner};
use rand::RngExt;
use relay::Received;
use request_log::RequestLog;
use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use steer::budget::Purpose;
use steer::health::Outcome;
use steer::queue::Refused;
use steer::shortage::Shortage;
use steer::{Selector, Timestamp};
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Time after which an idempotent request without a response is retried on another endpoint, as a
/// multiple of the route's latency target.
const HEAD_TIMEOUT_FACTOR: f64 = 1.5;
/// Maximum size of a buffered response body.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Maximum size of a refusal's body that is read to reuse the connection.
const MAX_DRAINED_BYTES: usize = 64 << 10;
/// Maximum time for reading a refusal's body.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(100);
/// Time over which the callers of a content are spread that crashes endpoints, so that it doesn't
/// return at all nodes at once.
const CRASHING_SPREAD: Duration = Duration::from_secs(1);

/// A request in flight.
pub(crate) struct Forwarder<D: Dialect> {
    pub(crate) worker: Rc<Worker<D>>,
    pub(crate) job: Job,
    pub(crate) log: RequestLog,
    /// Endpoints that the request was sent to.
    pub(crate) tried: RefCell<Vec<Run>>,
    /// What is known about its executions.
    pub(crate) executions: Ledger,
    /// Whether an attempt reached an endpoint. From then on further attempts count against the
    /// retry budget.
    pub(crate) reached: Cell<bool>,
    /// How the queue of the service refused the request.
    queue_refusal: Cell<Option<Refused>>,
    /// Notified when an attempt is idle.
    pub(crate) idle: Notify,
    /// The next attempt, if a chain is reserved for it already.
    pub(crate) planned: RefCell<Option<PlannedAttempt<D>>>,
    /// Inquiries into broken attempts.
    inquiries: RefCell<Vec<JoinHandle<()>>>,
    /// The trial that this request is, if its content is on trial.
    trial: OnceCell<Trial>,
    pub(crate) _in_flight: Guard,
}

/// Forwards an admitted request and returns the response for the caller.
pub(crate) async fn run<D: Dialect>(
    worker: Rc<Worker<D>>,
    job: Job,
    guard: Guard,
) -> Response<Body<impl Stream<Item = Chunk>>> {
    let executions = Ledger::new(job.kind(), job.route().max_attempts, job.body.clone());
    let log = RequestLog::new(&worker, &job, executions.clone());
    let mut forwarder = Forwarder {
        worker,
        job,
        log,
        tried: RefCell::default(),
        executions,
        reached: Cell::new(false),
        queue_refusal: Cell::new(None),
        idle: Notify::new(),
        planned: RefCell::new(None),
        inquiries: RefCell::default(),
        trial: OnceCell::new(),
        _in_flight: guard,
    };
    if forwarder.must_relay()
        && let Some(relayed) = forwarder.unless_aborted(forwarder.relay()).await.flatten()
    {
        return pass_on(relay::receive(forwarder, relayed).await);
    }
    let service = forwarder.job.service().name.clone();
    let worker = forwarder.worker.clone();
    let need = forwarder.job.need();
    worker.with_selector(|selector, now| {
        selector.record_request(now, &service);
        if need.urgent {
            selector.record_urgent(now, &service, &need);
        }
    });
    let race = forwarder.unless_aborted(forwarder.race(None, Phase::Opening));
    match race.await.unwrap_or(Err(Lost::Aborted)) {
        Ok(Winner::Complete(response)) => {
            // An endpoint that answers with an error may not have run the request to its end.
            if response.status().is_success() {
                forwarder.worker.record_completed(&forwarder.job);
                forwarder.worker.record_duration(&forwarder.job);
            }
            forwarder.log.end_answered(response.status().as_u16());
            response.map(body::content)
        }
        Ok(Winner::Events(source, first)) => {
            let (head, body) = splice::stream(forwarder, *source, first);
            let mut response = Response::new(body::stream(body.right_stream()));
            *response.status_mut() = head.status;
            *response.headers_mut() = head.headers;
            response
        }
        Err(lost) => {
            // The paths may have been lost meanwhile.
            if forwarder.must_relay()
                && let Some(relayed) = forwarder.unless_aborted(forwarder.relay()).await.flatten()
            {
                return pass_on(relay::receive(forwarder, relayed).await);
            }
            let refusal = match lost {
                Lost::Shortage(shortage) => forwarder.refuse_for_shortage(shortage),
                Lost::Crashing { until } => forwarder.refuse_crashing(until),
                Lost::Deadline => forwarder.expired(),
                Lost::Exhausted => forwarder.exhausted(),
                Lost::Aborted => forwarder.refuse_aborted(),
            };
            forwarder.log.end_refused(refusal);
            let info = &forwarder.job.info;
            let dialect = &forwarder.worker.dialect;
            refusal.response_to(dialect, info.id.as_deref(), info.relayed)
        }
    }
}

/// Returns the response to a request that was relayed.
fn pass_on<R: Stream<Item = Chunk>, S: Stream<Item = Chunk>>(
    received: Result<Response<Received<R>>, Refusal>,
) -> Response<Body<Either<R, S>>> {
    match received {
        Ok(response) => response.map(|content| match content {
            Received::Complete(content) => body::content(content),
            Received::Frames(frames) => body::stream(frames.left_stream()),
        }),
        Err(refusal) => refusal.response(),
    }
}

impl<D: Dialect> Forwarder<D> {
    /// Reads a response completely; `None` if it was cut off, or may have been, or exceeds the size limit.
    async fn read_complete(&self, exchange: Exchange<D>) -> Option<Response<Content>> {
        let Exchange {
            conn,
            head,
            response,
            info,
            reservation,
            ..
        } = exchange;
        let (mut parts, body) = response.into_parts();
        let admission = &self.worker.admission;
        let body = admission
            .collect(body, MAX_BODY_BYTES, self.job.deadline, conn.meter())
            .await;
        let body = match body {
            Some(body) if !head.is_delimited() => {
                // The status of a failure says all that a caller acts on.
                let has_begun = !body.is_empty() || !parts.status.is_success();
                let is_whole = self.confirm_end(&reservation.progress, has_begun, None);
                is_whole.await.then_some(body)
            }
            body => body,
        };
        let Some(body) = body else {
            reservation.end(Outcome::Failed, None);
            return None;
        };
        reservation.end(Outcome::Success, None);
        self.worker
            .pool
            .put(conn, &parts.headers, info.idle_timeout);
        parts.headers = admit::returned(&parts.headers);
        Some(Response::from_parts(parts, body))
    }

    /// Returns whether the response of an attempt is whole that ended with its connection, after event `event_id`.
    /// One that has not begun is not: it may have been cut right behind its head.
    pub(crate) async fn confirm_end(
        &self,
        progress: &Progress,
        has_begun: bool,
        event_id: Option<u64>,
    ) -> bool {
        let is_alive = self.worker.pool.is_alive(progress.head.addr);
        let is_whole = has_begun && timeout(self.job.time_left(), is_alive).await == Ok(true);
        self.log.record_unmarked(progress, event_id, is_whole);
        is_whole
    }

    /// Ends an attempt that the endpoint refused.
    pub(crate) async fn end_refused(&self, exchange: Exchange<D>) {
        let status = exchange.response.status();
        let not_run = exchange.not_run();
        self.log.record_failure(
            exchange.reservation.attempt(),
            &describe_refusal(status, not_run, &exchange.info),
            !not_run,
        );
        let outcome = refusal_outcome(&exchange);
        let Exchange {
            conn,
            response,
            info,
            reservation,
            attempt,
            disproof,
            ..
        } = exchange;
        if let Some(disproof) = disproof {
            // Whether the request is sent again is decided elsewhere.
            let _ = attempt.disprove(disproof);
        }
        reservation.end(outcome, info.faulty_stage);
        self.drain_body(conn, response, &info).await;
    }

    /// Reads the short body of a refusal, so that the connection can be reused.
    async fn drain_body(
        &self,
        conn: Conn,
        response: Response<hyper::body::Incoming>,
        info: &ResponseInfo,
    ) {
        let (parts, body) = response.into_parts();
        let body = response::body::discard(body, MAX_DRAINED_BYTES);
        let read = timeout(self.job.time_left().min(DRAIN_TIMEOUT), body).await;
        if read == Ok(true) {
            self.worker
                .pool
                .put(conn, &parts.headers, info.idle_timeout);
        }
    }

    /// Returns the permission to send the request; `None` if it may not be sent again.
    pub(crate) fn permit(&self) -> Option<Permit> {
        let permit = self.executions.permit();
        if permit.as_ref().err() == Some(&Denial::AttemptsUsed) {
            self.log.set_reason("the route's attempts are used up");
        }
        self.granted(permit)
    }

    /// Returns the permission to send the request beside attempts that are running; `None` if it may not be
    /// sent again.
    pub(crate) fn further_permit(&self) -> Option<Permit> {
        self.granted(self.executions.permit())
    }

    fn granted(&self, permit: execution::Result<Permit>) -> Option<Permit> {
        if permit.as_ref().err() == Some(&Denial::BodyDropped) {
            self.log
                .set_reason("its body was dropped for want of memory");
        }
        permit.ok()
    }

    /// Takes an attempt from the retry budget. Attempts are free until one reached an endpoint.
    pub(crate) fn take_from_budget(&self, purpose: Purpose) -> bool {
        if !self.reached.get() {
            return true;
        }
        let service = self.job.service().name.clone();
        let granted = self
            .worker
            .with_selector(|selector, now| selector.try_retry(now, &service, purpose));
        if granted {
            crate::stats::increment(&self.worker.stats.retries);
        } else {
            self.log
                .set_reason("the budget for further attempts is used up");
        }
        granted
    }

    /// Selects a target for an attempt beside those that are running, and takes the retry from the
    /// budget, but not from what is left for responses that have no endpoint any more; `None` if the
    /// request may not be retried or no other endpoint can take it now.
    pub(crate) fn hedge_target(
        &self,
        running: &[Rc<Progress>],
    ) -> Option<(Reservation<D>, Permit)> {
        // A request that may have crashed an endpoint runs on one at a time.
        if self.worker.is_suspect(&self.job) || !self.has_budget() {
            return None;
        }
        let permit = self.further_permit()?;
        let service = self.current_service().ok()?;
        let need = self.job.need();
        let tried = self.tried.borrow();
        let heads: Vec<Run> = running.iter().map(|p| p.head.run.clone()).collect();
        let excluded = [tried.as_slice(), &heads];
        let target = self.worker.with_selector(|selector, now| {
            let mut found = excluded
                .iter()
                .map(|e| selector.select(now, service, &need, e));
            found.find_map(std::result::Result::ok)
        })?;
        let reservation = Reservation::new(self.worker.clone(), target);
        self.reached.set(true);
        self.take_from_budget(Purpose::Answer)
            .then_some((reservation, permit))
    }

    /// Returns whether the retry budget has a further attempt.
    fn has_budget(&self) -> bool {
        let service = &self.job.service().name;
        self.worker
            .with_selector(|selector, now| selector.can_retry(now, service, Purpose::Answer))
    }

    /// Runs a query for endpoints that were not tried yet; if there are none, for all endpoints.
    fn query_untried<T>(
        &self,
        query: impl Fn(&mut Selector, Timestamp, ServiceId, &[Run]) -> steer::Result<T>,
    ) -> steer::Result<T> {
        let service = self.current_service()?;
        let tried = self.tried.borrow();
        let tried = tried.as_slice();
        self.worker
            .with_selector(|selector, now| match query(selector, now, service, tried) {
                Err(_) if !tried.is_empty() => query(selector, now, service, &[]),
                found => found,
            })
    }

    /// Returns the id of the job's service in the catalog that is in force, which may be newer than
    /// the job's own.
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

    /// Returns the time after which an attempt without a response head is slow.
    fn head_timeout(&self) -> Duration {
        let time_left = self.job.time_left();
        match self.job.kind() {
            Kind::Idempotent => {
                time_left.min(self.job.route().latency_target.mul_f64(HEAD_TIMEOUT_FACTOR))
            }
            _ => time_left,
        }
    }

    /// Waits for a result; `None` if requests in flight are given up before.
    async fn unless_aborted<T>(&self, result: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            () = self.worker.aborted() => None,
            result = result => Some(result),
        }
    }

    /// Returns the refusal of a request that is given up because the node is about to end.
    fn refuse_aborted(&self) -> Refusal {
        self.log.set_reason("the node is about to end");
        match self.worker.view() {
            Some(view) => {
                let promise = self.worker.leaving_refusal(&view);
                self.executions.refuse(promise, Reason::OutcomeUnknown)
            }
            None => self.exhausted(),
        }
    }

    /// Returns the refusal after the deadline.
    fn expired(&self) -> Refusal {
        let not_run = Refusal::new(Reason::ExpiredNotRun);
        self.executions.refuse(not_run, Reason::TimedOut)
    }

    /// Returns the refusal when no further attempt is made.
    fn exhausted(&self) -> Refusal {
        let otherwise = match self.job.time_left().is_zero() {
            true => Reason::TimedOut,
            false => Reason::OutcomeUnknown,
        };
        let promise = Refusal::with_retry_after(Reason::Unavailable, jitter(RETRY_AFTER_FULL));
        self.executions.refuse(promise, otherwise)
    }

    /// Returns the refusal of a request whose content crashes endpoints.
    fn refuse_crashing(&self, until: Timestamp) -> Refusal {
        self.log.set_reason("its content crashes endpoints");
        let left = until.saturating_sub(self.worker.now());
        let retry_after = left + random_part(CRASHING_SPREAD);
        let promise = Refusal::with_retry_after(Reason::Crashing, retry_after);
        self.executions.refuse(promise, Reason::OutcomeUnknown)
    }
}

/// Describes a refusal for the log, with the faulty stage that the head of a chain reported and the
/// rest that the endpoint asked for.
fn describe_refusal(status: StatusCode, not_run: bool, info: &ResponseInfo) -> String {
    let run = if not_run { ", not run" } else { "" };
    let stage = info.faulty_stage.map(|c| format!(", for {c}"));
    let rest = info
        .retry_after
        .map(|r| format!(", retry after {} ms", r.as_millis()));
    format!(
        "status {}{run}{}{}",
        status.as_u16(),
        stage.unwrap_or_default(),
        rest.unwrap_or_default()
    )
}

/// Returns what a refusal implies for the health of the endpoint at fault.
fn refusal_outcome<D: Dialect>(exchange: &Exchange<D>) -> Outcome {
    let head = exchange.reservation.target.head().addr;
    match exchange.info.faulty_stage {
        _ if exchange.response.status() == StatusCode::MISDIRECTED_REQUEST => Outcome::Misdirected,
        // A head that asks for rest is busy and not missing.
        Some(stage) if stage == head && exchange.rest().is_some() => Outcome::Full,
        Some(_) => Outcome::Missing,
        None => Outcome::Full,
    }
}

/// Spreads the retries of callers that are refused together: returns one to two times `after`, at
/// random.
pub(crate) fn jitter(after: Duration) -> Duration {
    after + random_part(after)
}

/// Returns a random part of a time.
fn random_part(time: Duration) -> Duration {
    time.mul_f64(rand::rng().random_range(0.0..1.0))
}
