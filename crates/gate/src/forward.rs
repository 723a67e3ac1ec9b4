//! Sends a request to endpoints until one answers, as far as it may be repeated.

pub mod attempt;
pub mod depart;
pub mod look;
pub mod story;

use crate::admit;
use crate::answer::{self, Answer};
use crate::dialect::{Dialect, ResponseInfo};
use crate::job::Job;
use crate::pool::Conn;
use crate::refusal::{Reason, Refusal};
use crate::splice::{self, Chunk, Live};
use crate::worker::{Flight, Worker};
use attempt::{Failure, Held, Sent};
use bytes::Bytes;
use catalog::ServiceId;
use catalog::kind::Kind;
use futures::Stream;
use http::{Response, StatusCode};
use http_body_util::BodyExt;
use rand::RngExt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use steer::health::Outcome;
use steer::shortage::Shortage;
use steer::{Selector, Timestamp};
use story::Story;
use tokio::time::timeout;

/// Attempts that may end without having reached an endpoint.
const UNSENT: u32 = 4;
/// Part of the route's target time that a request waits for room: past it another node, asked
/// again by the caller, is as likely to have room as this one.
const PATIENCE: f64 = 0.4;
/// Time in which an idempotent request that was not answered is sent to another endpoint, as a
/// multiple of the route's target time.
const SLOW: f64 = 1.5;
/// Bytes of an answer that are gathered before it is passed on.
const GATHERED: usize = 16 << 20;
/// Longest body of a refusal that is read to keep its connection.
const SHORT: usize = 64 << 10;
/// Longest time for that.
const DRAIN: Duration = Duration::from_millis(100);
/// When to come back if all endpoints are full: a part of what an answer takes.
const AFTER_FULL: Duration = Duration::from_millis(400);
/// When to come back if endpoints are missing: about what an endpoint takes to load its layers.
const AFTER_GONE: Duration = Duration::from_millis(800);
/// When to come back if nothing is large enough: an endpoint more is needed.
const AFTER_SIZE: Duration = Duration::from_secs(3);

/// A request under way.
pub(crate) struct Run<D: Dialect> {
    pub(crate) worker: Rc<Worker<D>>,
    pub(crate) job: Job,
    pub(crate) story: Story,
    /// Endpoints that it was sent to.
    pub(crate) tried: Vec<catalog::endpoint::Run>,
    /// Attempts that may have run.
    pub(crate) ran: u32,
    /// Whether an attempt has reached an endpoint, so that the next one is a further arrival.
    pub(crate) arrived: bool,
    pub(crate) _flight: Flight,
}

/// What a caller gets.
enum Ending<D: Dialect> {
    /// An endpoint's whole answer.
    Whole(Response<Bytes>),
    /// An endpoint's answer that comes in events.
    Live(Box<Live<D>>),
    /// The node's own.
    Own(Refusal),
}

/// Runs a request to its answer.
pub(crate) async fn run<D: Dialect>(
    worker: Rc<Worker<D>>,
    job: Job,
    flight: Flight,
) -> Response<Answer<impl Stream<Item = Chunk>>> {
    let story = Story::new(worker.journal.clone(), worker.metrics.clone(), &job);
    let service = job.service().name.clone();
    worker.steer(|steer, now| steer.record_request(now, &service));
    let mut run = Run {
        worker,
        job,
        story,
        tried: Vec::new(),
        ran: 0,
        arrived: false,
        _flight: flight,
    };
    match run.settle().await {
        Ending::Own(refusal) => {
            run.story.refused(refusal);
            refusal.response()
        }
        Ending::Whole(answer) => {
            run.story.answered(answer.status().as_u16());
            answer.map(answer::whole)
        }
        Ending::Live(live) => {
            let head = live.head();
            let mut response = Response::new(answer::stream(splice::stream(run, *live)));
            *response.status_mut() = head.status;
            *response.headers_mut() = head.headers;
            response
        }
    }
}

impl<D: Dialect> Run<D> {
    async fn settle(&mut self) -> Ending<D> {
        let mut unsent = 0;
        loop {
            if self.job.time_left().is_zero() {
                return Ending::Own(Refusal::new(self.over()));
            }
            let target = match self.target(None).await {
                Ok(target) => target,
                Err(shortage) => return Ending::Own(self.short(shortage)),
            };
            let held = Held::new(self.worker.clone(), target);
            let limit = self.head_limit();
            match self.send(held, None, limit).await {
                Ok(sent) => {
                    if let Some(ending) = self.take(sent).await {
                        return ending;
                    }
                }
                Err(failure) => {
                    if failure.ran() {
                        self.ran += 1;
                    } else {
                        unsent += 1;
                    }
                    if failure.ran() && !self.job.kind().repeatable() {
                        let late = failure == Failure::Silent && self.job.time_left().is_zero();
                        let reason = if late { Reason::Late } else { Reason::Lost };
                        return Ending::Own(Refusal::new(reason));
                    }
                    if unsent > UNSENT || !self.again(failure.ran()) {
                        return Ending::Own(self.spent());
                    }
                }
            }
        }
    }

    /// What an endpoint's head leads to; nothing if the request is sent again.
    async fn take(&mut self, sent: Sent<D>) -> Option<Ending<D>> {
        let status = sent.response.status();
        if sent.not_run() {
            self.decline(sent).await;
            return self.again_or_spent();
        }
        self.ran += 1;
        let stream = self.job.kind().stream().is_some() && status == StatusCode::OK;
        if stream {
            return Some(Ending::Live(Box::new(Live::new(sent))));
        }
        let repeat = status.is_server_error() && self.job.kind().repeatable();
        let info = sent.info.clone();
        let Some(answer) = self.whole(sent).await else {
            self.story.failed("the answer broke off", true);
            if !self.job.kind().repeatable() {
                return Some(Ending::Own(Refusal::new(Reason::Lost)));
            }
            return self.again_or_spent();
        };
        if repeat && info.sealed && self.job.time_left() > Duration::ZERO && self.again(true) {
            self.story.failed(&format!("status {status}"), true);
            return None;
        }
        Some(Ending::Whole(answer))
    }

    /// Reads an answer to its end; nothing if it broke off.
    async fn whole(&mut self, sent: Sent<D>) -> Option<Response<Bytes>> {
        let Sent {
            conn,
            response,
            info,
            held,
        } = sent;
        let (mut parts, body) = response.into_parts();
        let body = http_body_util::Limited::new(body, GATHERED).collect();
        let body = timeout(self.job.time_left(), body).await;
        let Ok(Ok(body)) = body else {
            held.end(Outcome::Failed, None);
            return None;
        };
        held.end(Outcome::Success, None);
        if !closes(&parts.headers) {
            self.worker.pool.keep(conn, info.idle_timeout);
        }
        parts.headers = admit::returned(&parts.headers);
        Some(Response::from_parts(parts, body.to_bytes()))
    }

    /// Gives up an attempt whose endpoint refused it.
    pub(crate) async fn decline(&mut self, sent: Sent<D>) {
        let status = sent.response.status();
        let not_run = sent.not_run();
        self.story
            .failed(&refused(status, not_run, &sent.info), !not_run);
        let outcome = declined(status, &sent.info);
        let Sent {
            conn,
            response,
            info,
            held,
        } = sent;
        held.end(outcome, info.faulty_stage);
        self.drain(conn, response, &info).await;
    }

    /// Reads the short body of a refusal, so that its connection can be used again.
    async fn drain(
        &self,
        conn: Conn,
        response: Response<hyper::body::Incoming>,
        info: &ResponseInfo,
    ) {
        let closes = closes(response.headers());
        let body = http_body_util::Limited::new(response.into_body(), SHORT).collect();
        let read = timeout(self.job.time_left().min(DRAIN), body).await;
        if matches!(read, Ok(Ok(_))) && !closes {
            self.worker.pool.keep(conn, info.idle_timeout);
        }
    }

    /// Nothing if the request is sent once more after an attempt that reached an endpoint, or else
    /// the answer that ends it.
    fn again_or_spent(&mut self) -> Option<Ending<D>> {
        match self.again(true) {
            true => None,
            false => Some(Ending::Own(self.spent())),
        }
    }

    /// Whether the request may be sent once more; `arrived` if the last attempt counts as one
    /// that reached an endpoint.
    pub(crate) fn again(&mut self, arrived: bool) -> bool {
        self.arrived |= arrived;
        if self.ran >= self.job.route().max_attempts {
            return false;
        }
        if !self.arrived {
            return true;
        }
        let service = self.job.service().name.clone();
        let granted = self
            .worker
            .steer(|steer, now| steer.try_retry(now, &service));
        if granted {
            crate::stats::add(&self.worker.stats.again);
        } else {
            self.story
                .note("the budget for further attempts is used up");
        }
        granted
    }

    /// A target, after a wait for room if it must be; `patience` bounds the wait.
    pub(crate) async fn target(
        &mut self,
        patience: Option<Duration>,
    ) -> Result<steer::target::Target, Shortage> {
        let begun = tokio::time::Instant::now();
        let usual = self.job.route().latency_target.mul_f64(PATIENCE);
        let patience = patience.unwrap_or(usual).min(self.job.time_left());
        let need = self.job.need();
        loop {
            let found =
                self.find(|steer, now, service, tried| steer.select(now, service, &need, tried));
            let shortage = match found {
                Ok(target) => {
                    self.worker.metrics.queue(begun.elapsed());
                    return Ok(target);
                }
                Err(shortage) => shortage,
            };
            let waited = begun.elapsed();
            if shortage == Shortage::Size || waited >= patience {
                return Err(shortage);
            }
            self.worker.freed(patience - waited).await;
        }
    }

    /// Whether the request could go on elsewhere now. An answer that is only silent is not given up
    /// before that: the endpoint may still go on, and a caller whose answer is cut has nothing.
    pub(crate) fn could_move(&self) -> bool {
        self.ran + 1 < self.job.route().max_attempts && self.could_move_on()
    }

    /// The same for an answer that has begun, whose run is counted already.
    pub(crate) fn could_move_on(&self) -> bool {
        if !self.job.kind().repeatable() || self.ran >= self.job.route().max_attempts {
            return false;
        }
        let service = &self.job.service().name;
        if !self
            .worker
            .steer(|steer, now| steer.can_retry(now, service))
        {
            return false;
        }
        let need = self.job.need();
        let found =
            self.find(|steer, now, service, tried| steer.can_select(now, service, &need, tried));
        found.is_ok()
    }

    /// Asks for endpoints that were not tried, or else for any.
    fn find<T>(
        &self,
        ask: impl Fn(&mut Selector, Timestamp, ServiceId, &[catalog::endpoint::Run]) -> steer::Result<T>,
    ) -> steer::Result<T> {
        let service = self.service_now()?;
        let tried = &self.tried;
        self.worker
            .steer(|steer, now| match ask(steer, now, service, tried) {
                Err(_) if !tried.is_empty() => ask(steer, now, service, &[]),
                found => found,
            })
    }

    /// The id of the job's service in the catalog that is in force now, which may be a later one
    /// than the job's own.
    pub(crate) fn service_now(&self) -> steer::Result<ServiceId> {
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
    fn head_limit(&self) -> Duration {
        let left = self.job.time_left();
        let last = self.ran + 1 >= self.job.route().max_attempts;
        match self.job.kind() {
            Kind::Idempotent if !last => left.min(self.job.route().latency_target.mul_f64(SLOW)),
            _ => left,
        }
    }

    /// The reason when the time is over.
    fn over(&self) -> Reason {
        match self.ran {
            0 => Reason::Expired,
            _ => Reason::Late,
        }
    }

    /// The answer when no further attempt is made.
    fn spent(&self) -> Refusal {
        match self.ran {
            0 => Refusal::after(Reason::Unavailable, spread(AFTER_FULL)),
            _ if self.job.time_left().is_zero() => Refusal::new(Reason::Late),
            _ => Refusal::new(Reason::Lost),
        }
    }

    /// The answer when no endpoint can take it.
    fn short(&mut self, shortage: Shortage) -> Refusal {
        self.story.note(shortage.as_str());
        let scarcity = self
            .service_now()
            .map(|service| self.worker.steer(|steer, now| steer.scarcity(now, service)));
        self.story.short(shortage, &scarcity.unwrap_or_default());
        if self.ran > 0 {
            return Refusal::new(Reason::Lost);
        }
        let after = match shortage {
            Shortage::Capacity => AFTER_FULL,
            Shortage::Endpoints | Shortage::Layers => AFTER_GONE,
            Shortage::Size => AFTER_SIZE,
        };
        Refusal::after(Reason::Unavailable, spread(after))
    }
}

/// A refusal in words, with the stage that the head of a chain names.
fn refused(status: StatusCode, not_run: bool, info: &ResponseInfo) -> String {
    let run = if not_run { ", not run" } else { "" };
    let culprit = info.faulty_stage.map(|c| format!(", for {c}"));
    format!(
        "status {}{run}{}",
        status.as_u16(),
        culprit.unwrap_or_default()
    )
}

/// What a refusal says of the endpoint that it is about.
fn declined(status: StatusCode, info: &ResponseInfo) -> Outcome {
    match status {
        StatusCode::MISDIRECTED_REQUEST => Outcome::Misdirected,
        _ if info.faulty_stage.is_some() => Outcome::Missing,
        _ => Outcome::Full,
    }
}

/// Spreads the return of callers that were refused together over once to twice the time.
pub(crate) fn spread(after: Duration) -> Duration {
    after.mul_f64(rand::rng().random_range(1.0..2.0))
}

/// Whether an endpoint closes the connection after its answer.
pub(crate) fn closes(headers: &http::HeaderMap) -> bool {
    let values = headers.get_all(http::header::CONNECTION).iter();
    let mut values = values.filter_map(|v| v.to_str().ok());
    values.any(|v| v.to_ascii_lowercase().contains("close"))
}
