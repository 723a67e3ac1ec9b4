//! Joins the event streams of successive endpoints into one response.
//!
//! Events are forwarded as they arrive. When an endpoint's stream breaks, the response is resumed
//! from another endpoint after the last forwarded event, if the route allows it; when it stalls,
//! another endpoint is tried beside it ([`crate::forward::race`]). The head of the response is held back until
//! the first event: a response that ends before it is an error that names its reason. Later the
//! head remains that of the first endpoint. A response is ended as complete only if its endpoint
//! ended it between two events; otherwise the caller's connection is aborted, so that a truncated
//! response does not look complete.

mod source;

use crate::admission::{Holder, Registration, Way};
use crate::dialect::Dialect;
use crate::forward::Forwarder;
use crate::forward::race::{Lost, Phase, Winner};
use bytes::Bytes;
use futures::Stream;
use http::{HeaderMap, StatusCode};
use hyper::body::Frame;
use source::Batch;
use std::fmt;

pub(crate) use source::{EventSource, Step};

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

struct Splice<D: Dialect> {
    forwarder: Forwarder<D>,
    source: Option<EventSource<D>>,
    /// Id of the last event that was forwarded, or that the caller already had.
    last_event_id: Option<u64>,
    /// Whether an event was forwarded.
    has_started: bool,
    done: bool,
    /// The body of the request, which may be dropped from now on.
    _kept: Option<Registration>,
}

/// Returns the head and the body of a response that continues `source`, whose first step is `first`.
pub(crate) fn stream<D: Dialect>(
    forwarder: Forwarder<D>,
    source: EventSource<D>,
    first: Step,
) -> (Head, impl Stream<Item = Chunk>) {
    let head = source.head();
    let kept = keep_body(&forwarder);
    let splice = Splice {
        _kept: kept,
        last_event_id: forwarder.job.info.last_event_id,
        forwarder,
        source: Some(source),
        has_started: false,
        done: false,
    };
    let body = futures::stream::unfold((splice, Some(first)), |(mut splice, first)| async move {
        let chunk = splice.next_chunk(first).await?;
        Some((chunk, (splice, None)))
    });
    (head, body)
}

/// Drops a large body that is not sent again, or else registers that it may be dropped for others. A response
/// that has begun can then not be resumed from another endpoint; its caller can.
fn keep_body<D: Dialect>(forwarder: &Forwarder<D>) -> Option<Registration> {
    let job = &forwarder.job;
    if !job.is_large() {
        return None;
    }
    if !job.kind().repeatable() {
        job.release_body();
        return None;
    }
    let limits = &job.catalog.limits;
    let way = Way::Kept(job.droppable_body());
    let holder = Holder::new(way, None, limits.idle_time);
    holder.set_bytes(job.body.len());
    Some(forwarder.worker.admission.register(holder))
}

impl<D: Dialect> Splice<D> {
    /// Returns the next frame of the body; `None` at its end. `ready` is a step that was read before.
    async fn next_chunk(&mut self, ready: Option<Step>) -> Option<Chunk> {
        if self.done {
            return None;
        }
        let step = match ready {
            Some(step) => Ok(step),
            None => self.step().await,
        };
        match step {
            Ok(Step::Events(batch)) => {
                self.record_progress(&batch);
                Some(Ok(Frame::data(batch.bytes)))
            }
            Ok(_) => {
                self.finish();
                None
            }
            Err(lost) => {
                if let Some(reason) = reason_to_end(lost) {
                    self.forwarder.log.set_reason(reason);
                }
                self.done = true;
                self.forwarder.log.end_truncated();
                // The connection discards what it has not written when the body fails. It writes
                // the events before when it has to wait.
                tokio::task::yield_now().await;
                Some(Err(Incomplete))
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

    /// Waits for the next events or the end of the response. If the source is idle or fails, other
    /// endpoints are tried.
    async fn step(&mut self) -> std::result::Result<Step, Lost> {
        let Some(mut source) = self.source.take() else {
            return Err(Lost::Exhausted);
        };
        let phase = Phase::Resuming(self.last_event_id);
        let step = source.watch(&self.forwarder, self.last_event_id).await;
        let current = match step {
            Step::Idle(reason) => {
                self.forwarder.report_idle(&source.progress(), reason);
                Some(source)
            }
            Step::Failed(reason) => {
                self.forwarder.log.set_reason(reason);
                source.fail(&self.forwarder, reason);
                None
            }
            step => {
                self.source = Some(source);
                return Ok(step);
            }
        };
        match self.forwarder.race(current, phase).await? {
            Winner::Events(source, step) => {
                self.source = Some(*source);
                Ok(step)
            }
            // A response that is resumed is an event stream.
            Winner::Complete(_) => Err(Lost::Exhausted),
        }
    }

    fn finish(&mut self) {
        self.done = true;
        if let Some(source) = self.source.take() {
            source.finish(&self.forwarder);
        }
        self.forwarder.worker.record_completed(&self.forwarder.job);
        self.forwarder.worker.record_duration(&self.forwarder.job);
        self.forwarder.log.end_answered(StatusCode::OK.as_u16());
    }
}

/// Returns why a response is cut off; `None` if the reason is recorded already.
fn reason_to_end(lost: Lost) -> Option<&'static str> {
    match lost {
        Lost::Shortage(_) => Some("no endpoint to go on from"),
        Lost::Crashing { .. } => Some("its content crashes endpoints"),
        Lost::Exhausted | Lost::Deadline | Lost::Aborted => None,
    }
}
