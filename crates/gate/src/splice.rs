//! An answer in events, from one endpoint after the other.
//!
//! Events are passed on as they come. When an endpoint breaks off or falls silent, the answer goes
//! on from another one after the last event that was passed on, if the route allows it. The head
//! of the answer stays that of the first endpoint. An answer is ended as whole only when the
//! endpoint ended it between two events; else the caller's connection is broken off.

use crate::admit;
use crate::dialect::Dialect;
use crate::events::{Cutter, Event};
use crate::forward::attempt::{Held, Sent};
use crate::forward::depart::Departure;
use crate::forward::look::{self, Look};
use crate::forward::{Run, closes};
use bytes::Bytes;
use futures::Stream;
use http::{HeaderMap, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Frame;
use std::fmt;
use std::time::Duration;
use steer::health::Outcome;
use tokio::time::{Instant, timeout};

/// Time after the last event in which another endpoint is looked for.
const PATIENCE: Duration = Duration::from_millis(600);

/// What a caller's body is made of.
pub type Chunk = std::result::Result<Frame<Bytes>, Broken>;

/// The answer can't be ended as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Broken;

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl std::error::Error for Broken {}

/// An endpoint's answer while it comes.
pub(crate) struct Live<D: Dialect> {
    sent: Sent<D>,
}

/// The head that a caller gets.
pub(crate) struct Head {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
}

impl<D: Dialect> Live<D> {
    pub(crate) fn new(sent: Sent<D>) -> Self {
        Self { sent }
    }

    pub(crate) fn head(&self) -> Head {
        let response = &self.sent.response;
        Head {
            status: response.status(),
            headers: admit::returned(response.headers()),
        }
    }
}

/// How an endpoint's stream went on.
enum Step {
    /// Bytes were added to the cutter.
    Fed,
    /// The endpoint ended the answer.
    End,
    /// It broke off, fell silent, or skipped an event.
    Lost(&'static str),
}

struct Splice<D: Dialect> {
    run: Run<D>,
    live: Option<Live<D>>,
    cutter: Cutter,
    /// Id of the last event that was passed on.
    last: Option<u64>,
    /// When an event or the request last came, or the answer went on from another endpoint.
    moved: Instant,
    /// Whether an event was passed on.
    begun: bool,
    /// The stage that is about to go, if any.
    departure: Departure,
    done: bool,
}

/// The body of an answer that begins with `live`.
pub(crate) fn stream<D: Dialect>(run: Run<D>, live: Live<D>) -> impl Stream<Item = Chunk> {
    let splice = Splice {
        last: run.job.info.last_event_id,
        moved: run.job.came,
        run,
        live: Some(live),
        cutter: Cutter::default(),
        begun: false,
        departure: Departure::default(),
        done: false,
    };
    futures::stream::unfold(splice, |mut splice| async move {
        let chunk = splice.chunk().await?;
        Some((chunk, splice))
    })
}

impl<D: Dialect> Splice<D> {
    /// The next part of the body; nothing at its end.
    async fn chunk(&mut self) -> Option<Chunk> {
        if self.done {
            return None;
        }
        loop {
            match self.ready() {
                Ok(Some(bytes)) => return Some(Ok(Frame::data(bytes))),
                Ok(None) => {}
                Err(why) => {
                    if !self.resume(why).await {
                        return Some(Err(self.broken()));
                    }
                    continue;
                }
            }
            match self.step().await {
                Step::Fed => {}
                Step::End if !self.cutter.torn() => {
                    self.finish();
                    return None;
                }
                Step::End => {
                    if !self.resume("ended in the middle of an event").await {
                        return Some(Err(self.broken()));
                    }
                }
                Step::Lost(why) => {
                    if !self.resume(why).await {
                        return Some(Err(self.broken()));
                    }
                }
            }
        }
    }

    /// Whole events that are there, without those that the caller has.
    fn ready(&mut self) -> Result<Option<Bytes>, &'static str> {
        let mut out: Option<Bytes> = None;
        if self.cutter.overlong() {
            return Err("sent an event without end");
        }
        while let Some(event) = self.cutter.next() {
            if !self.fits(&event)? {
                continue;
            }
            self.passed();
            self.last = event.id.or(self.last);
            out = Some(match out {
                None => event.bytes,
                Some(before) => [before, event.bytes].concat().into(),
            });
        }
        Ok(out)
    }

    /// Whether an event is the next one; one that the caller has is left out.
    fn fits(&self, event: &Event) -> Result<bool, &'static str> {
        match (self.last, event.id) {
            (Some(last), Some(id)) if id <= last => Ok(false),
            (Some(last), Some(id)) if id > last + 1 => Err("skipped an event"),
            _ => Ok(true),
        }
    }

    fn passed(&mut self) {
        if self.begun {
            self.run.story.went_on();
        } else {
            self.run.story.begun();
        }
        self.begun = true;
        self.moved = Instant::now();
    }

    async fn step(&mut self) -> Step {
        let Some(live) = &mut self.live else {
            return Step::Lost("no endpoint");
        };
        let usual = if self.begun { look::NEXT } else { look::FIRST };
        let mut next = usual;
        loop {
            let left = self.run.job.time_left();
            if left.is_zero() {
                return Step::Lost("the time is over");
            }
            let wait = next.saturating_sub(self.moved.elapsed()).min(left);
            let Sent { response, held, .. } = &mut live.sent;
            if self.begun
                && let Some(stage) = self.departure.due(&self.run.worker, &held.target)
            {
                self.run.evacuate(held, stage).await;
            }
            let mut frame = response.body_mut().frame();
            let frame = match timeout(wait, &mut frame).await {
                Ok(frame) => frame,
                Err(_) => tokio::select! {
                    biased;
                    frame = frame => frame,
                    account = self.run.ask(&held.target) => {
                        let silent = self.moved.elapsed();
                        if let Look::Lost(why) = self.run.look(held, account, silent).await
                            && self.run.could_move_on()
                        {
                            return Step::Lost(why);
                        }
                        next = self.moved.elapsed() + look::AGAIN;
                        continue;
                    }
                },
            };
            return match frame {
                None => Step::End,
                Some(Err(_)) => Step::Lost("broke off"),
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        self.cutter.feed(data);
                    }
                    Step::Fed
                }
            };
        }
    }

    /// Goes on from another endpoint; whether there is one.
    async fn resume(&mut self, why: &'static str) -> bool {
        self.run.story.failed(why, true);
        self.run.story.note(why);
        self.cutter.clear();
        if let Some(live) = self.live.take() {
            self.run
                .worker
                .pool
                .forget(live.sent.held.target.head().addr);
            live.sent.held.end(Outcome::Failed, None);
        }
        let kind = self.run.job.kind();
        while kind.repeatable() && !self.run.job.time_left().is_zero() && self.run.again(true) {
            let Ok(target) = self.run.target(Some(PATIENCE)).await else {
                self.run.story.note("no endpoint to go on from");
                return false;
            };
            let held = Held::new(self.run.worker.clone(), target);
            let limit = self.run.job.time_left();
            match self.run.send(held, self.last, limit).await {
                Ok(sent) if sent.response.status() == StatusCode::OK => {
                    self.run.ran += 1;
                    self.live = Some(Live::new(sent));
                    self.moved = Instant::now();
                    return true;
                }
                Ok(sent) => {
                    self.run.ran += u32::from(!sent.not_run());
                    self.run.decline(sent).await;
                }
                Err(failure) => self.run.ran += u32::from(failure.ran()),
            }
        }
        false
    }

    fn finish(&mut self) {
        self.done = true;
        if let Some(Live { sent }) = self.live.take() {
            let closes = closes(sent.response.headers());
            sent.held.end(Outcome::Success, None);
            if !closes {
                self.run.worker.pool.keep(sent.conn, sent.info.idle_timeout);
            }
        }
        self.run.story.answered(StatusCode::OK.as_u16());
    }

    fn broken(&mut self) -> Broken {
        self.done = true;
        self.run.story.broken();
        Broken
    }
}
