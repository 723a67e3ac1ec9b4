//! Joins the event streams of successive endpoints into one response.
//!
//! Events are forwarded as they arrive. When an endpoint's stream breaks, the response is resumed
//! from another endpoint after the last forwarded event, if the route allows it; when it stalls,
//! another endpoint is tried beside it ([`hedge`]). The head of the response is held back until
//! the first event: a response that ends before it is an error that names its reason. Later the
//! head remains that of the first endpoint. A response is ended as complete only if its endpoint
//! ended it between two events; otherwise the caller's connection is aborted, so that a truncated
//! response does not look complete.

mod hedge;
mod source;

use crate::dialect::Dialect;
use crate::forward::Forwarder;
use crate::forward::attempt::Reservation;
use crate::forward::stall;
use bytes::Bytes;
use futures::{Stream, StreamExt};
use hedge::Hedged;
use http::{HeaderMap, StatusCode};
use hyper::body::Frame;
use source::{Batch, Step};
use std::fmt;
use std::time::Duration;
use steer::budget::Purpose;
use tokio::time::Instant;

pub(crate) use source::EventSource;

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

/// Status and headers that are sent to the caller.
pub(crate) struct Head {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
}

/// A response whose first events were received.
pub(crate) struct Opened<S> {
    pub(crate) head: Head,
    pub(crate) body: S,
}

struct Splice<D: Dialect> {
    forwarder: Forwarder<D>,
    source: Option<EventSource<D>>,
    /// Id of the last event that was forwarded, or that the caller already had.
    last_event_id: Option<u64>,
    /// Whether an event was forwarded.
    has_started: bool,
    done: bool,
}

/// Waits for the first events of a response whose first part is read from `source`, and returns
/// its head and body.
///
/// # Errors
///
/// Returns the forwarder if the response ended before its first event and no endpoint could resume
/// it.
pub(crate) async fn open<D: Dialect>(
    forwarder: Forwarder<D>,
    source: EventSource<D>,
) -> std::result::Result<Opened<impl Stream<Item = Chunk>>, Forwarder<D>> {
    let mut head = source.head();
    let mut splice = Splice {
        last_event_id: forwarder.job.info.last_event_id,
        forwarder,
        source: Some(source),
        has_started: false,
        done: false,
    };
    let first = match splice.next().await {
        Ok(first) => first,
        Err(_) => return Err(splice.forwarder),
    };
    if let Some(source) = &splice.source {
        head = source.head();
    }
    let first = futures::stream::iter(first.map(|bytes| Ok(Frame::data(bytes))));
    let others = futures::stream::unfold(splice, |mut splice| async move {
        let chunk = splice.next_chunk().await?;
        Some((chunk, splice))
    });
    Ok(Opened {
        head,
        body: first.chain(others),
    })
}

impl<D: Dialect> Splice<D> {
    /// Returns the next frame of the body; `None` at its end.
    async fn next_chunk(&mut self) -> Option<Chunk> {
        if self.done {
            return None;
        }
        match self.next().await {
            Ok(bytes) => bytes.map(|bytes| Ok(Frame::data(bytes))),
            Err(incomplete) => {
                self.done = true;
                self.forwarder.log.end_truncated();
                Some(Err(incomplete))
            }
        }
    }

    /// Returns the next events; `None` at the end of the response.
    async fn next(&mut self) -> std::result::Result<Option<Bytes>, Incomplete> {
        loop {
            match self.step().await {
                Step::Events(batch) => {
                    self.record_progress(&batch);
                    return Ok(Some(batch.bytes));
                }
                Step::End => {
                    self.finish();
                    return Ok(None);
                }
                Step::Failed(reason) | Step::Idle(reason) => {
                    if !self.resume(reason).await {
                        return Err(Incomplete);
                    }
                }
            }
        }
    }

    fn record_progress(&mut self, batch: &Batch) {
        for _ in 0..batch.count {
            if self.has_started {
                self.forwarder.log.record_event();
            } else {
                self.forwarder.log.record_first_event();
            }
            self.has_started = true;
        }
        self.last_event_id = batch.last_id;
    }

    /// Waits for the next step of the source. While it is idle, other endpoints are tried, at
    /// intervals that double with each one that does not continue the response.
    async fn step(&mut self) -> Step {
        let mut interval = stall::PROBE_INTERVAL;
        let mut next_hedge = Instant::now();
        loop {
            let Some(source) = &mut self.source else {
                return Step::Failed("no endpoint");
            };
            let reason = match source.watch(&self.forwarder, self.last_event_id).await {
                Step::Idle(reason) => reason,
                step => return step,
            };
            if Instant::now() < next_hedge {
                continue;
            }
            match self.hedge(reason).await {
                Hedged::Step(step) => return step,
                Hedged::Replaced | Hedged::NoTarget => {}
                Hedged::Declined => {
                    next_hedge = Instant::now() + interval;
                    interval = interval.saturating_mul(2);
                }
            }
        }
    }

    /// Resumes a response whose source failed from another endpoint. Returns whether one was found.
    async fn resume(&mut self, reason: &'static str) -> bool {
        self.forwarder.log.set_reason(reason);
        if let Some(source) = self.source.take() {
            source.fail(&self.forwarder, reason);
        }
        let purpose = match self.has_started {
            true => Purpose::Resumption,
            false => Purpose::Answer,
        };
        while self.forwarder.job.kind().repeatable()
            && !self.forwarder.job.time_left().is_zero()
            && self.forwarder.try_retry(true, purpose)
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
                    self.source = Some(EventSource::new(exchange, Instant::now()));
                    return true;
                }
                Ok(exchange) => self.forwarder.end_refused(exchange).await,
                Err(_) => {}
            }
        }
        false
    }

    fn finish(&mut self) {
        self.done = true;
        if let Some(source) = self.source.take() {
            source.finish(&self.forwarder);
        }
        self.forwarder.log.end_answered(StatusCode::OK.as_u16());
    }
}
