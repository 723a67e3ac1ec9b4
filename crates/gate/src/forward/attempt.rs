//! One attempt up to the head of its answer.

use super::Forwarder;
use super::stall::{self, Verdict};
use crate::dialect::{Dialect, ForwardInfo, ResponseInfo};
use crate::pool::{self, Conn};
use crate::worker::Worker;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use steer::health::Outcome;
use steer::target::{Stage, Target};
use tokio::time::{Instant, timeout};

/// What an attempt holds at endpoints, given back when it ends or is dropped.
pub(crate) struct Reservation<D: Dialect> {
    worker: Rc<Worker<D>>,
    pub(crate) target: Target,
    ended: bool,
}

impl<D: Dialect> Reservation<D> {
    pub(crate) fn new(worker: Rc<Worker<D>>, target: Target) -> Self {
        Self {
            worker,
            target,
            ended: false,
        }
    }

    /// Ends it; see [`steer::Selector::end`].
    pub(crate) fn end(mut self, outcome: Outcome, faulty_stage: Option<SocketAddr>) {
        self.ended = true;
        self.worker
            .release(self.target.reservation, outcome, faulty_stage);
    }
}

impl<D: Dialect> Drop for Reservation<D> {
    fn drop(&mut self) {
        if !self.ended {
            self.worker
                .release(self.target.reservation, Outcome::Unknown, None);
        }
    }
}

/// An attempt whose answer's head came.
pub(crate) struct Exchange<D: Dialect> {
    pub(crate) conn: Conn,
    pub(crate) response: Response<Incoming>,
    pub(crate) info: ResponseInfo,
    pub(crate) reservation: Reservation<D>,
}

impl<D: Dialect> Exchange<D> {
    /// Whether the endpoint says that it did not run the request.
    pub(crate) fn not_run(&self) -> bool {
        self.info.not_run || self.response.status() == StatusCode::MISDIRECTED_REQUEST
    }
}

/// Why an attempt brought no head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// No connection, or one that ended before anything was sent.
    Unsent,
    /// The connection broke.
    Broken,
    /// Nothing came in time.
    TimedOut,
    /// What came is the answer to another request, or none that the endpoint vouches for.
    Unverified,
}

impl Failure {
    /// Whether the request may have reached the endpoint, and have run.
    pub(crate) fn may_have_run(self) -> bool {
        self != Self::Unsent
    }

    fn as_str(self) -> &'static str {
        match self {
            Self::Unsent => "no connection",
            Self::Broken => "the connection broke",
            Self::TimedOut => "no answer in time",
            Self::Unverified => "another request's answer, or one without a seal",
        }
    }
}

impl From<pool::Error> for Failure {
    fn from(error: pool::Error) -> Self {
        match error {
            pool::Error::Connect | pool::Error::Unsent => Self::Unsent,
            pool::Error::Broken => Self::Broken,
        }
    }
}

impl<D: Dialect> Forwarder<D> {
    /// Sends the request to the head of a target and waits up to `limit` for the answer's head.
    /// `after` is the event after which the answer goes on.
    pub(crate) async fn send(
        &mut self,
        mut reservation: Reservation<D>,
        last_event_id: Option<u64>,
        limit: Duration,
    ) -> Result<Exchange<D>, Failure> {
        let addr = reservation.target.head().addr;
        self.tried
            .extend(reservation.target.stages.iter().map(|s| s.run.clone()));
        let crossings = self.crossings(&reservation.target.stages);
        self.log.record_sent(&reservation.target, crossings);
        let exchanged = self.exchange(&mut reservation, last_event_id, limit).await;
        let failure = match exchanged {
            Ok((conn, response)) => {
                let info = self.worker.dialect.response_info(response.headers());
                if self.is_genuine(&response, &info) {
                    return Ok(Exchange {
                        conn,
                        response,
                        info,
                        reservation,
                    });
                }
                Failure::Unverified
            }
            Err(failure) => failure,
        };
        self.log
            .record_failure(failure.as_str(), failure.may_have_run());
        self.worker.pool.close_idle(addr);
        reservation.end(Outcome::Failed, None);
        Err(failure)
    }

    /// Hops of a chain between availability zones, for the log.
    pub(crate) fn crossings(&self, stages: &[Stage]) -> u32 {
        self.worker
            .with_selector(|selector, _| selector.crossings(stages))
    }

    async fn exchange(
        &self,
        reservation: &mut Reservation<D>,
        last_event_id: Option<u64>,
        limit: Duration,
    ) -> Result<(Conn, Response<Incoming>), Failure> {
        let addr = reservation.target.head().addr;
        let mut conn = self.worker.pool.get(addr).await?;
        let request = self.request(&reservation.target, last_event_id);
        match self
            .await_head(&mut conn, request, reservation, limit)
            .await
        {
            // A kept connection that was closed before the request left: a new one is made.
            Err(Failure::Unsent) => {
                self.worker.pool.close_idle(addr);
                let mut conn = self.worker.pool.get(addr).await?;
                let request = self.request(&reservation.target, last_event_id);
                let response = self
                    .await_head(&mut conn, request, reservation, limit)
                    .await?;
                Ok((conn, response))
            }
            response => Ok((conn, response?)),
        }
    }

    /// Waits for the head of an answer. A chain's head is asked what it waits for when it stays
    /// silent; see [`super::look`].
    async fn await_head(
        &self,
        conn: &mut Conn,
        request: Request<Full<bytes::Bytes>>,
        reservation: &mut Reservation<D>,
        limit: Duration,
    ) -> Result<Response<Incoming>, Failure> {
        let started = Instant::now();
        let time_left = self.job.time_left();
        let mut response = pin!(conn.send(request));
        let mut next_probe = stall::FIRST_EVENT_PROBE_DELAY.min(limit);
        loop {
            let wait = next_probe.min(time_left).saturating_sub(started.elapsed());
            if let Ok(response) = timeout(wait, response.as_mut()).await {
                return Ok(response?);
            }
            if started.elapsed() >= time_left {
                return Err(Failure::TimedOut);
            }
            let report = tokio::select! {
                biased;
                response = response.as_mut() => return Ok(response?),
                report = self.query_head(&reservation.target) => report,
            };
            let idle = started.elapsed();
            let reason = match self.assess(reservation, report, idle).await {
                Verdict::Abandon(reason) => Some(reason),
                Verdict::Wait => (idle >= limit).then_some("slow"),
            };
            if let Some(reason) = reason
                && self.can_fail_over()
            {
                self.log.record_failure(reason, true);
                return Err(Failure::TimedOut);
            }
            next_probe = match idle < limit {
                true => limit.min(started.elapsed() + stall::PROBE_INTERVAL),
                false => started.elapsed() + stall::PROBE_INTERVAL,
            };
        }
    }

    fn request(&self, target: &Target, last_event_id: Option<u64>) -> Request<Full<bytes::Bytes>> {
        let job = &self.job;
        let mut request = Request::new(Full::new(job.body.clone()));
        *request.method_mut() = job.method.clone();
        *request.uri_mut() = job.uri.clone();
        *request.headers_mut() = job.headers.clone();
        let info = ForwardInfo {
            target,
            time_left: job.time_left(),
            team: job.team.as_deref(),
            priority: job.service().engine.as_ref().map(|_| job.priority),
            last_event_id,
        };
        self.worker
            .dialect
            .add_headers(request.headers_mut(), &info);
        request
    }

    /// Whether an answer is this request's and the endpoint vouches for it. An endpoint may send
    /// a second answer late, at the place of the next one; a success without a seal is nobody's.
    fn is_genuine(&self, response: &Response<Incoming>, info: &ResponseInfo) -> bool {
        let own_id = info.request_id.is_none() || info.request_id == self.job.info.id;
        let success = response.status().is_success();
        let encoded = response
            .headers()
            .contains_key(http::header::CONTENT_ENCODING);
        let informational = response.status() == StatusCode::SWITCHING_PROTOCOLS;
        own_id && !informational && !encoded && (!success || info.sealed)
    }
}
