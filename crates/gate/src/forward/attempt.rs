//! A single attempt, up to the head of the response.

use super::Forwarder;
use super::evacuation::Evacuation;
use super::stall::{self, Verdict};
use crate::dialect::{Dialect, ForwardInfo, ResponseInfo};
use crate::execution::{Attempt, Disproof, Doubt, Permit};
use crate::pool::{self, Conn, Received};
use crate::worker::Worker;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use memory::content::ContentBody;
use response::head::Head;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use steer::health::Outcome;
use steer::target::{Stage, Target};
use steer::{Selector, Timestamp};
use tokio::time::{Instant, sleep};

/// The capacity that an attempt reserved at its endpoints, released when the attempt ends or is
/// dropped.
pub(crate) struct Reservation<D: Dialect> {
    worker: Rc<Worker<D>>,
    pub(crate) target: Target,
    /// Stages before the last reroute, while it is not known whether the head carried it out.
    pub(crate) unconfirmed: Option<Vec<Stage>>,
    /// State that is shared with those who wait for the attempt.
    pub(crate) progress: Rc<Progress>,
    ended: bool,
}

impl<D: Dialect> Reservation<D> {
    pub(crate) fn new(worker: Rc<Worker<D>>, target: Target) -> Self {
        let progress = Rc::new(Progress::new(target.head()));
        Self {
            worker,
            target,
            unconfirmed: None,
            progress,
            ended: false,
        }
    }

    pub(crate) fn worker(&self) -> &Worker<D> {
        &self.worker
    }

    /// Returns the number of the attempt; 0 until it is sent.
    pub(crate) fn attempt(&self) -> u32 {
        self.progress.attempt.get()
    }

    /// Records that the first event of the attempt arrived.
    pub(crate) fn record_first_event(&self) {
        let id = self.target.reservation;
        self.worker
            .with_selector(|selector, now| selector.record_first_event(now, id));
    }

    /// Releases the reservation and reports the outcome; see [`steer::Selector::end`].
    pub(crate) fn end(mut self, outcome: Outcome, faulty_stage: Option<SocketAddr>) {
        self.ended = true;
        self.worker
            .release(self.target.reservation, outcome, faulty_stage);
    }
}

impl<D: Dialect> Drop for Reservation<D> {
    fn drop(&mut self) {
        if !self.ended {
            self.worker.release(
                self.target.reservation,
                self.progress.dropped_as.get(),
                None,
            );
        }
    }
}

/// State of an attempt that waits for its response, for those who wait for it.
#[derive(Debug)]
pub(crate) struct Progress {
    /// Stage that the request is sent to.
    pub(crate) head: Stage,
    /// Number of the attempt; 0 until it is sent.
    pub(crate) attempt: Cell<u32>,
    /// When it was sent.
    sent_at: Cell<Timestamp>,
    /// Outcome that is reported if the attempt is dropped.
    pub(crate) dropped_as: Cell<Outcome>,
    /// Why another endpoint should be tried, until that was considered.
    pub(crate) idle_reason: Cell<Option<&'static str>>,
    /// Whether the attempt was ever idle.
    pub(crate) was_idle: Cell<bool>,
    /// Number of endpoints that each feature of the request had crashed when the attempt was sent;
    /// empty if nothing was recorded.
    pub(crate) earlier_crashes: RefCell<Vec<u8>>,
}

impl Progress {
    fn new(head: &Stage) -> Self {
        Self {
            head: head.clone(),
            attempt: Cell::new(0),
            sent_at: Cell::default(),
            dropped_as: Cell::new(Outcome::Unknown),
            idle_reason: Cell::new(None),
            was_idle: Cell::new(false),
            earlier_crashes: RefCell::default(),
        }
    }
}

/// An attempt whose response head was received.
pub(crate) struct Exchange<D: Dialect> {
    pub(crate) conn: Conn,
    pub(crate) head: Head,
    pub(crate) response: Response<Incoming>,
    pub(crate) info: ResponseInfo,
    pub(crate) reservation: Reservation<D>,
    pub(crate) attempt: Attempt,
    /// Evidence that the endpoint did not execute the request.
    pub(crate) disproof: Option<Disproof>,
}

impl<D: Dialect> Exchange<D> {
    /// Returns whether the endpoint did not execute the request.
    pub(crate) fn not_run(&self) -> bool {
        self.disproof.is_some()
    }

    /// Returns the time for which the endpoint asks to be left alone.
    pub(crate) fn rest(&self) -> Option<Duration> {
        let refused = self.response.status() == StatusCode::SERVICE_UNAVAILABLE;
        self.info
            .retry_after
            .filter(|rest| refused && !rest.is_zero())
    }

    /// Returns whether the endpoint answers the request.
    pub(crate) fn is_accepted(&self) -> bool {
        !self.not_run() && !self.response.status().is_server_error()
    }
}

/// Why an attempt got no response head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// No connection was established, or it broke.
    Connection(pool::Error),
    /// An endpoint of the target announced that it leaves before the request was sent.
    Leaving,
    /// An endpoint of the target asked for rest before the request was sent.
    Resting,
    /// No response within the time limit.
    TimedOut,
    /// The response belongs to another request, or lacks the seal of the endpoint.
    Unverified,
    /// The response states that the request was not executed, but does not prove it.
    Doubtful(Doubt),
}

impl Failure {
    /// Returns whether the request may have reached the endpoint and have been executed.
    pub(crate) fn may_have_run(self) -> bool {
        match self {
            Self::Connection(error) => error.may_have_run(),
            Self::Leaving | Self::Resting => false,
            Self::TimedOut | Self::Unverified | Self::Doubtful(_) => true,
        }
    }

    /// Returns the evidence that the request was not executed, if there is any.
    fn disproof(self) -> Option<Disproof> {
        match self {
            Self::Connection(error) => Disproof::of_failure(error),
            _ => None,
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Connection(error) => return error.fmt(f),
            Self::Doubtful(doubt) => return doubt.fmt(f),
            Self::Leaving => "an endpoint announced that it leaves",
            Self::Resting => "endpoint at rest",
            Self::TimedOut => "no response head before the timeout",
            Self::Unverified => "response belongs to another request or has no seal",
        })
    }
}

impl From<pool::Error> for Failure {
    fn from(error: pool::Error) -> Self {
        Self::Connection(error)
    }
}

impl<D: Dialect> Forwarder<D> {
    /// Sends the request to the head of a target and waits for the response head until the deadline.
    /// A response is resumed after the event `last_event_id`.
    pub(crate) async fn send(
        &self,
        mut reservation: Reservation<D>,
        permit: Permit,
        last_event_id: Option<u64>,
    ) -> Result<Exchange<D>, Failure> {
        let addr = reservation.target.head().addr;
        self.tried
            .borrow_mut()
            .extend(reservation.target.stages.iter().map(|s| s.run.clone()));
        let attempt = self.log.begin_attempt();
        reservation.progress.attempt.set(attempt);
        reservation.progress.sent_at.set(self.worker.now());
        let crashes = self.worker.crashes(&self.job);
        reservation.progress.earlier_crashes.replace(crashes);
        let exchanged = self.exchange(&mut reservation, permit, last_event_id).await;
        let failure = match exchanged {
            Ok((conn, received, attempt)) => {
                let Received { head, response } = received;
                let info = self.worker.dialect.response_info(response.headers());
                match self.verify(&conn, &response, &info) {
                    Ok(disproof) => {
                        let exchange = Exchange {
                            conn,
                            head,
                            response,
                            info,
                            reservation,
                            attempt,
                            disproof,
                        };
                        self.record_head(&exchange);
                        return Ok(exchange);
                    }
                    Err(failure) => failure,
                }
            }
            Err(failure) => failure,
        };
        self.log
            .record_failure(attempt, &failure.to_string(), failure.may_have_run());
        match failure {
            Failure::Connection(pool::Error::Broken) => self.inquire(&reservation.progress),
            Failure::Connection(pool::Error::Refused | pool::Error::Unreachable) => {
                self.suspect_paths();
            }
            _ => {}
        }
        let outcome = match failure {
            Failure::Leaving | Failure::Resting => Outcome::Unknown,
            _ => {
                self.worker.pool.close_idle(addr);
                Outcome::Failed
            }
        };
        reservation.end(outcome, None);
        Err(failure)
    }

    /// Records that the service of the request may be out of reach.
    pub(crate) fn suspect_paths(&self) {
        self.worker.suspect_paths(&self.job.service().name);
    }

    /// Records whether the endpoint accepted the request, asks for rest, or announces that it leaves.
    /// The rest is that of the endpoint that answers, whichever stage is at fault.
    fn record_head(&self, exchange: &Exchange<D>) {
        let target = &exchange.reservation.target;
        if exchange.info.leaving {
            self.worker.record_leaving(target.head());
        }
        // Another run at the address responds with 421.
        if exchange.response.status() != StatusCode::MISDIRECTED_REQUEST {
            let sent_at = exchange.reservation.progress.sent_at.get();
            self.worker.record_alive(&target.head().run, sent_at);
        }
        self.worker
            .with_selector(|selector, now| match exchange.rest() {
                Some(rest) => selector.record_rest(now, &target.head().run, rest),
                None if exchange.is_accepted() => selector.record_accepted(target.reservation),
                None => {}
            });
        self.record_limit(exchange);
    }

    /// Records whether the endpoint limits the requests that it takes.
    fn record_limit(&self, exchange: &Exchange<D>) {
        // The response of another run at the same address says nothing about this one.
        if exchange.response.status() == StatusCode::MISDIRECTED_REQUEST {
            return;
        }
        let target = &exchange.reservation.target;
        let run = &target.head().run;
        let interval = exchange.info.request_interval;
        let news = self.worker.with_selector(|selector, now| match interval {
            Some(interval) => selector.record_limit(now, run, interval),
            None => selector.record_no_limit(target.reservation),
        });
        if news {
            self.log.record_limit(run, interval);
        }
    }

    /// Returns a connection to the head of a target, unless an endpoint of the target announced that it
    /// leaves, or asked for rest, while it was established.
    async fn connect(&self, target: &Target) -> Result<Conn, Failure> {
        let id = self.job.info.id.as_deref();
        let conn = self.worker.pool.get(target.head().addr, id).await?;
        let check = |selector: &mut Selector, now| {
            if selector.is_leaving(target) {
                return Err(Failure::Leaving);
            }
            match selector.rests(now, target) {
                true => Err(Failure::Resting),
                false => Ok(()),
            }
        };
        self.worker.with_selector(check).map(|()| conn)
    }

    /// Returns the number of hops between availability zones, for the log.
    pub(crate) fn crossings(&self, stages: &[Stage]) -> u32 {
        self.worker
            .with_selector(|selector, _| selector.crossings(stages))
    }

    fn record_sent(&self, reservation: &Reservation<D>, conn: Option<&Conn>) {
        let target = &reservation.target;
        let crossings = self.crossings(&target.stages);
        self.log
            .record_sent(reservation.attempt(), target, crossings, conn);
    }

    /// Sends the request and waits for the head of the response. If the endpoint closed the idle connection
    /// before, the request is sent on a new one.
    async fn exchange(
        &self,
        reservation: &mut Reservation<D>,
        mut permit: Permit,
        last_event_id: Option<u64>,
    ) -> Result<(Conn, Received, Attempt), Failure> {
        let addr = reservation.target.head().addr;
        let mut is_retry = false;
        loop {
            let conn = self.connect(&reservation.target).await;
            self.record_sent(reservation, conn.as_ref().ok());
            let mut conn = conn?;
            let (attempt, body) = permit.begin();
            let request = self.request(body, &reservation.target, last_event_id);
            let error = match self
                .await_head(&mut conn, request, reservation, last_event_id)
                .await
            {
                Ok(received) => return Ok((conn, received, attempt)),
                Err(error) => error,
            };
            let Some(disproof) = error.disproof() else {
                return Err(error);
            };
            let again = attempt.disprove(disproof);
            if is_retry {
                return Err(error);
            }
            is_retry = true;
            permit = again.map_err(|_| error)?;
            self.log
                .record_resent(reservation.attempt(), &error.to_string());
            self.worker.pool.close_idle(addr);
        }
    }

    /// Waits for the head of the response. If it is late, the head of a chain is asked what it
    /// waits for; see [`super::stall`]. If another endpoint should be tried, this is reported to
    /// those who wait for the attempt.
    async fn await_head(
        &self,
        conn: &mut Conn,
        request: Request<ContentBody>,
        reservation: &mut Reservation<D>,
        last_event_id: Option<u64>,
    ) -> Result<Received, Failure> {
        let latency_target = self.job.route().latency_target;
        let mut evacuation = Evacuation::new(&self.worker);
        let started = Instant::now();
        let time_left = self.job.time_left();
        let limit = self.head_timeout();
        let mut response = pin!(conn.send(request));
        let mut next_probe = stall::FIRST_EVENT_PROBE_DELAY.min(limit);
        loop {
            let target = &reservation.target;
            let elapsed = started.elapsed();
            let due = evacuation.due_in(&self.worker, target, elapsed, latency_target);
            if due.is_some_and(|d| d.is_zero()) {
                let moved = self.evacuate(reservation, &mut evacuation, elapsed, last_event_id);
                if let Some(reason) = moved.await {
                    self.report_idle(&reservation.progress, reason);
                }
                continue;
            }
            let wait = next_probe.min(time_left).saturating_sub(elapsed);
            tokio::select! {
                biased;
                response = response.as_mut() => return Ok(response?),
                () = evacuation.changed() => continue,
                () = sleep(due.map_or(wait, |d| d.min(wait))) => {}
            }
            let elapsed = started.elapsed();
            if elapsed >= time_left {
                return Err(Failure::TimedOut);
            }
            if elapsed < next_probe {
                continue;
            }
            let report = tokio::select! {
                biased;
                response = response.as_mut() => return Ok(response?),
                report = self.query_head(&reservation.target) => report,
            };
            let idle = started.elapsed();
            let reason = match self.assess(reservation, report, idle).await {
                Verdict::Failover(reason) => Some(reason),
                Verdict::Wait => (idle >= limit).then_some("slow"),
            };
            if let Some(reason) = reason {
                self.report_idle(&reservation.progress, reason);
            }
            next_probe = match idle < limit {
                true => limit.min(started.elapsed() + stall::PROBE_INTERVAL),
                false => started.elapsed() + stall::PROBE_INTERVAL,
            };
        }
    }

    fn request(
        &self,
        body: ContentBody,
        target: &Target,
        last_event_id: Option<u64>,
    ) -> Request<ContentBody> {
        let job = &self.job;
        let mut request = Request::new(body);
        *request.method_mut() = job.method.clone();
        *request.uri_mut() = job.uri.clone();
        *request.headers_mut() = job.headers.clone();
        let may_overtake = self
            .worker
            .with_selector(|selector, _| selector.may_overtake(target.reservation));
        let info = ForwardInfo {
            target,
            time_left: job.time_left(),
            team: job.team.as_deref(),
            priority: job.engine_priority(may_overtake),
            last_event_id,
        };
        self.worker
            .dialect
            .add_headers(request.headers_mut(), &info);
        request
    }

    /// Checks that a response belongs to this request and was produced by the endpoint. Returns the
    /// evidence that the request was not executed, if the endpoint states that.
    fn verify(
        &self,
        conn: &Conn,
        response: &Response<Incoming>,
        info: &ResponseInfo,
    ) -> Result<Option<Disproof>, Failure> {
        if !self.is_genuine(conn, response, info) {
            return Err(Failure::Unverified);
        }
        let id = self.job.info.id.as_deref();
        Disproof::of_response(response.status(), info, id).map_err(Failure::Doubtful)
    }

    /// Returns whether a response belongs to this request and was produced by the endpoint. An
    /// endpoint may send a second response late, which then takes the place of the next one; without an
    /// id, that can only be excluded for the first response on a connection. A success without a seal has no
    /// proven origin.
    fn is_genuine(&self, conn: &Conn, response: &Response<Incoming>, info: &ResponseInfo) -> bool {
        let own_id = match &info.request_id {
            Some(id) => self.job.info.id.as_ref() == Some(id),
            None => conn.request_number() == 1,
        };
        let success = response.status().is_success();
        let encoded = response
            .headers()
            .contains_key(http::header::CONTENT_ENCODING);
        own_id && !encoded && (!success || info.sealed)
    }
}
