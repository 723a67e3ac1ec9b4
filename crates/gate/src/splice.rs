//! Joins the event streams of successive endpoints into one response.
//!
//! Events are forwarded as they arrive. When an endpoint's stream breaks or stalls, the response is
//! resumed from another endpoint after the last forwarded event, if the route allows it. The head
//! of the response remains that of the first endpoint. A response is ended as complete only if its
//! endpoint ended it between two events; otherwise the caller's connection is aborted, so that a
//! truncated response does not look complete.

use crate::admit;
use crate::dialect::Dialect;
use crate::events::{Event, Splitter};
use crate::forward::attempt::{Exchange, Reservation};
use crate::forward::migration::Migration;
use crate::forward::stall::{self, Verdict};
use crate::forward::{Forwarder, closes_connection};
use bytes::Bytes;
use futures::Stream;
use http::{HeaderMap, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Frame;
use std::fmt;
use std::time::Duration;
use steer::health::Outcome;
use tokio::time::{Instant, timeout};

/// Maximum wait for an endpoint with free capacity when a response is resumed.
const MAX_RESUME_WAIT: Duration = Duration::from_millis(600);

/// A frame of the body that is sent to a caller.
pub type Chunk = std::result::Result<Frame<Bytes>, Incomplete>;

/// Error that aborts the body of a response which can't be completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Incomplete;

impl fmt::Display for Incomplete {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("response was cut off before its end")
    }
}

impl std::error::Error for Incomplete {}

/// The response of one endpoint while its events are received.
pub(crate) struct EventSource<D: Dialect> {
    exchange: Exchange<D>,
}

/// Status and headers that are sent to the caller.
pub(crate) struct Head {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
}

impl<D: Dialect> EventSource<D> {
    pub(crate) fn new(exchange: Exchange<D>) -> Self {
        Self { exchange }
    }

    pub(crate) fn head(&self) -> Head {
        let response = &self.exchange.response;
        Head {
            status: response.status(),
            headers: admit::returned(response.headers()),
        }
    }
}

/// Result of reading from the endpoint's stream.
enum Step {
    /// Bytes were added to the splitter.
    Data,
    /// The endpoint ended the response.
    End,
    /// The stream broke, stalled or skipped an event.
    Failed(&'static str),
}

struct Splice<D: Dialect> {
    forwarder: Forwarder<D>,
    source: Option<EventSource<D>>,
    splitter: Splitter,
    /// Id of the last event that was forwarded, or that the caller already had.
    last_event_id: Option<u64>,
    /// Time of the last forwarded event, of the last resumption, or of the request's arrival.
    last_progress: Instant,
    /// Whether an event was forwarded.
    has_started: bool,
    /// The planned move off a departing stage.
    migration: Migration,
    done: bool,
}

/// Returns the body of a response whose first part is read from `source`.
pub(crate) fn stream<D: Dialect>(
    forwarder: Forwarder<D>,
    source: EventSource<D>,
) -> impl Stream<Item = Chunk> {
    let splice = Splice {
        last_event_id: forwarder.job.info.last_event_id,
        last_progress: forwarder.job.received_at,
        forwarder,
        source: Some(source),
        splitter: Splitter::default(),
        has_started: false,
        migration: Migration::default(),
        done: false,
    };
    futures::stream::unfold(splice, |mut splice| async move {
        let chunk = splice.next_chunk().await?;
        Some((chunk, splice))
    })
}

impl<D: Dialect> Splice<D> {
    /// Returns the next part of the body; `None` at its end.
    async fn next_chunk(&mut self) -> Option<Chunk> {
        if self.done {
            return None;
        }
        loop {
            match self.take_events() {
                Ok(Some(bytes)) => return Some(Ok(Frame::data(bytes))),
                Ok(None) => {}
                Err(reason) => {
                    if !self.resume(reason).await {
                        return Some(Err(self.truncate()));
                    }
                    continue;
                }
            }
            match self.step().await {
                Step::Data => {}
                Step::End if !self.splitter.has_partial() => {
                    self.finish();
                    return None;
                }
                Step::End => {
                    if !self.resume("ended in the middle of an event").await {
                        return Some(Err(self.truncate()));
                    }
                }
                Step::Failed(reason) => {
                    if !self.resume(reason).await {
                        return Some(Err(self.truncate()));
                    }
                }
            }
        }
    }

    /// Returns the complete events that are buffered, without those that the caller already has.
    fn take_events(&mut self) -> Result<Option<Bytes>, &'static str> {
        let mut out: Option<Bytes> = None;
        if self.splitter.is_oversized() {
            return Err("sent an event that exceeds the size limit");
        }
        while let Some(event) = self.splitter.next() {
            if !self.is_next(&event)? {
                continue;
            }
            self.record_progress();
            self.last_event_id = event.id.or(self.last_event_id);
            out = Some(match out {
                None => event.bytes,
                Some(earlier) => [earlier, event.bytes].concat().into(),
            });
        }
        Ok(out)
    }

    /// Returns whether an event is to be forwarded. Events that the caller already has are skipped;
    /// a gap in the ids is an error.
    fn is_next(&self, event: &Event) -> Result<bool, &'static str> {
        match (self.last_event_id, event.id) {
            (Some(last), Some(id)) if id <= last => Ok(false),
            (Some(last), Some(id)) if id > last + 1 => Err("skipped an event"),
            _ => Ok(true),
        }
    }

    fn record_progress(&mut self) {
        if self.has_started {
            self.forwarder.log.record_event();
        } else {
            self.forwarder.log.record_first_event();
        }
        self.has_started = true;
        self.last_progress = Instant::now();
    }

    async fn step(&mut self) -> Step {
        let Some(source) = &mut self.source else {
            return Step::Failed("no endpoint");
        };
        let delay = if self.has_started {
            stall::NEXT_EVENT_PROBE_DELAY
        } else {
            stall::FIRST_EVENT_PROBE_DELAY
        };
        let mut next_probe = delay;
        loop {
            let left = self.forwarder.job.time_left();
            if left.is_zero() {
                return Step::Failed("deadline passed");
            }
            let wait = next_probe
                .saturating_sub(self.last_progress.elapsed())
                .min(left);
            let Exchange {
                response,
                reservation,
                ..
            } = &mut source.exchange;
            if self.has_started
                && let Some(stage) = self
                    .migration
                    .due(&self.forwarder.worker, &reservation.target)
            {
                self.forwarder.migrate(reservation, stage).await;
            }
            let mut frame = response.body_mut().frame();
            let frame = match timeout(wait, &mut frame).await {
                Ok(frame) => frame,
                Err(_) => tokio::select! {
                    biased;
                    frame = frame => frame,
                    report = self.forwarder.query_head(&reservation.target) => {
                        let idle = self.last_progress.elapsed();
                        if let Verdict::Abandon(reason) = self.forwarder.assess(reservation, report, idle).await
                            && self.forwarder.can_resume()
                        {
                            return Step::Failed(reason);
                        }
                        next_probe = self.last_progress.elapsed() + stall::PROBE_INTERVAL;
                        continue;
                    }
                },
            };
            return match frame {
                None => Step::End,
                Some(Err(_)) => Step::Failed("connection broke"),
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        self.splitter.feed(data);
                    }
                    Step::Data
                }
            };
        }
    }

    /// Resumes the response from another endpoint. Returns whether one was found.
    async fn resume(&mut self, reason: &'static str) -> bool {
        self.forwarder.log.record_failure(reason, true);
        self.forwarder.log.set_reason(reason);
        self.splitter.clear();
        if let Some(source) = self.source.take() {
            self.forwarder
                .worker
                .pool
                .close_idle(source.exchange.reservation.target.head().addr);
            source.exchange.reservation.end(Outcome::Failed, None);
        }
        let kind = self.forwarder.job.kind();
        while kind.repeatable()
            && !self.forwarder.job.time_left().is_zero()
            && self.forwarder.try_retry(true)
        {
            let Ok(target) = self.forwarder.acquire_target(Some(MAX_RESUME_WAIT)).await else {
                self.forwarder.log.set_reason("no endpoint to go on from");
                return false;
            };
            let reservation = Reservation::new(self.forwarder.worker.clone(), target);
            let limit = self.forwarder.job.time_left();
            match self
                .forwarder
                .send(reservation, self.last_event_id, limit)
                .await
            {
                Ok(exchange) if exchange.response.status() == StatusCode::OK => {
                    self.forwarder.possible_runs += 1;
                    self.source = Some(EventSource::new(exchange));
                    self.last_progress = Instant::now();
                    return true;
                }
                Ok(exchange) => {
                    self.forwarder.possible_runs += u32::from(!exchange.not_run());
                    self.forwarder.end_refused(exchange).await;
                }
                Err(failure) => self.forwarder.possible_runs += u32::from(failure.may_have_run()),
            }
        }
        false
    }

    fn finish(&mut self) {
        self.done = true;
        if let Some(EventSource { exchange }) = self.source.take() {
            let closes_connection = closes_connection(exchange.response.headers());
            exchange.reservation.end(Outcome::Success, None);
            if !closes_connection {
                self.forwarder
                    .worker
                    .pool
                    .put(exchange.conn, exchange.info.idle_timeout);
            }
        }
        self.forwarder.log.end_answered(StatusCode::OK.as_u16());
    }

    fn truncate(&mut self) -> Incomplete {
        self.done = true;
        self.forwarder.log.end_truncated();
        Incomplete
    }
}
