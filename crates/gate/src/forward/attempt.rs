//! One attempt up to the head of its answer.

use super::Run;
use super::look::{self, Look};
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
pub(crate) struct Held<D: Dialect> {
    worker: Rc<Worker<D>>,
    pub(crate) target: Target,
    ended: bool,
}

impl<D: Dialect> Held<D> {
    pub(crate) fn new(worker: Rc<Worker<D>>, target: Target) -> Self {
        Self {
            worker,
            target,
            ended: false,
        }
    }

    /// Ends it; see [`steer::Selector::end`].
    pub(crate) fn end(mut self, outcome: Outcome, blame: Option<SocketAddr>) {
        self.ended = true;
        self.worker.end(self.target.reservation, outcome, blame);
    }
}

impl<D: Dialect> Drop for Held<D> {
    fn drop(&mut self) {
        if !self.ended {
            self.worker
                .end(self.target.reservation, Outcome::Unknown, None);
        }
    }
}

/// An attempt whose answer's head came.
pub(crate) struct Sent<D: Dialect> {
    pub(crate) conn: Conn,
    pub(crate) response: Response<Incoming>,
    pub(crate) info: ResponseInfo,
    pub(crate) held: Held<D>,
}

impl<D: Dialect> Sent<D> {
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
    Silent,
    /// What came is the answer to another request, or none that the endpoint vouches for.
    Foreign,
}

impl Failure {
    /// Whether the request may have reached the endpoint, and have run.
    pub(crate) fn ran(self) -> bool {
        self != Self::Unsent
    }

    fn word(self) -> &'static str {
        match self {
            Self::Unsent => "no connection",
            Self::Broken => "the connection broke",
            Self::Silent => "no answer in time",
            Self::Foreign => "another request's answer, or one without a seal",
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

impl<D: Dialect> Run<D> {
    /// Sends the request to the head of a target and waits up to `limit` for the answer's head.
    /// `after` is the event after which the answer goes on.
    pub(crate) async fn send(
        &mut self,
        mut held: Held<D>,
        last_event_id: Option<u64>,
        limit: Duration,
    ) -> Result<Sent<D>, Failure> {
        let addr = held.target.head().addr;
        self.tried
            .extend(held.target.stages.iter().map(|s| s.run.clone()));
        let crossings = self.crossings(&held.target.stages);
        self.story.sent(&held.target, crossings);
        let exchanged = self.exchange(&mut held, last_event_id, limit).await;
        let failure = match exchanged {
            Ok((conn, response)) => {
                let info = self.worker.dialect.response_info(response.headers());
                if self.genuine(&response, &info) {
                    return Ok(Sent {
                        conn,
                        response,
                        info,
                        held,
                    });
                }
                Failure::Foreign
            }
            Err(failure) => failure,
        };
        self.story.failed(failure.word(), failure.ran());
        self.worker.pool.forget(addr);
        held.end(Outcome::Failed, None);
        Err(failure)
    }

    /// Hops of a chain between availability zones, for the log.
    pub(crate) fn crossings(&self, stages: &[Stage]) -> u32 {
        self.worker.steer(|steer, _| steer.crossings(stages))
    }

    async fn exchange(
        &self,
        held: &mut Held<D>,
        last_event_id: Option<u64>,
        limit: Duration,
    ) -> Result<(Conn, Response<Incoming>), Failure> {
        let addr = held.target.head().addr;
        let mut conn = self.worker.pool.conn(addr).await?;
        let request = self.request(&held.target, last_event_id);
        match self.answer(&mut conn, request, held, limit).await {
            // A kept connection that was closed before the request left: a new one is made.
            Err(Failure::Unsent) => {
                self.worker.pool.forget(addr);
                let mut conn = self.worker.pool.conn(addr).await?;
                let request = self.request(&held.target, last_event_id);
                let response = self.answer(&mut conn, request, held, limit).await?;
                Ok((conn, response))
            }
            response => Ok((conn, response?)),
        }
    }

    /// Waits for the head of an answer. A chain's head is asked what it waits for when it stays
    /// silent; see [`super::look`].
    async fn answer(
        &self,
        conn: &mut Conn,
        request: Request<Full<bytes::Bytes>>,
        held: &mut Held<D>,
        limit: Duration,
    ) -> Result<Response<Incoming>, Failure> {
        let begun = Instant::now();
        let last = self.job.time_left();
        let mut response = pin!(conn.send(request));
        let mut next = look::FIRST.min(limit);
        loop {
            let wait = next.min(last).saturating_sub(begun.elapsed());
            if let Ok(response) = timeout(wait, response.as_mut()).await {
                return Ok(response?);
            }
            if begun.elapsed() >= last {
                return Err(Failure::Silent);
            }
            let account = tokio::select! {
                biased;
                response = response.as_mut() => return Ok(response?),
                account = self.ask(&held.target) => account,
            };
            let silent = begun.elapsed();
            let why = match self.look(held, account, silent).await {
                Look::Lost(why) => Some(why),
                Look::Wait => (silent >= limit).then_some("slow"),
            };
            if let Some(why) = why
                && self.could_move()
            {
                self.story.failed(why, true);
                return Err(Failure::Silent);
            }
            next = match silent < limit {
                true => limit.min(begun.elapsed() + look::AGAIN),
                false => begun.elapsed() + look::AGAIN,
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
    fn genuine(&self, response: &Response<Incoming>, info: &ResponseInfo) -> bool {
        let own = info.request_id.is_none() || info.request_id == self.job.info.id;
        let success = response.status().is_success();
        let encoded = response
            .headers()
            .contains_key(http::header::CONTENT_ENCODING);
        let informational = response.status() == StatusCode::SWITCHING_PROTOCOLS;
        own && !informational && !encoded && (!success || info.sealed)
    }
}
