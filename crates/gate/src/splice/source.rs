//! The event stream of one endpoint.

use super::Head;
use crate::admission::Admission;
use crate::admit;
use crate::dialect::{Dialect, ResponseInfo};
use crate::events::{Event, Splitter};
use crate::forward::Forwarder;
use crate::forward::attempt::{Exchange, Progress, Reservation};
use crate::forward::evacuation::Evacuation;
use crate::forward::migration::Migration;
use crate::forward::stall;
use crate::pool::Conn;
use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use memory::budget::{Class, Lease, Part};
use response::meter::{self, Meter};
use std::rc::Rc;
use std::time::Duration;
use steer::health::Outcome;
use tokio::time::{Instant, sleep, timeout};

/// Time for reading what has arrived before a response counts as idle. A process that was suspended
/// finds its timers expired before it has read from its connections.
const READ_TIME: Duration = Duration::from_millis(2);

/// Pause before a stream looks for room again.
const ROOM_INTERVAL: Duration = Duration::from_millis(20);
/// Longest wait for room. Streams that wait hold memory, and wait for each other.
const MAX_ROOM_WAIT: Duration = Duration::from_millis(200);

/// Complete events that follow each other.
#[derive(Debug)]
pub(crate) struct Batch {
    pub(super) bytes: Bytes,
    /// Number of events; 0 for what follows the last one.
    pub(super) count: usize,
    /// Id of the last event; `None` if no event has an id.
    pub(super) last_id: Option<u64>,
    /// Whether one of them is not a mere comment.
    pub(crate) has_content: bool,
}

/// Result of reading from an endpoint's stream.
#[derive(Debug)]
pub(crate) enum Step {
    /// The next events.
    Events(Batch),
    /// The endpoint ended the response.
    End,
    /// The connection ended, by which the endpoint may have ended the response.
    Closed,
    /// The stream broke or is invalid.
    Failed(&'static str),
    /// The endpoint has been idle for so long that another one should be tried. It may still
    /// continue.
    Idle(&'static str),
}

/// Splits the body of a response into events.
pub(super) struct Reader {
    response: Response<Incoming>,
    is_delimited: bool,
    splitter: Splitter,
    /// An error behind the events that were returned last.
    pending_error: Option<&'static str>,
    /// Whether the connection broke before the end of the response.
    broken: bool,
    /// Bounds the work for the response.
    meter: Meter,
    admission: Rc<Admission>,
    /// The memory of a long event.
    room: Lease,
    /// Since when there is no room for more of it.
    lacks_room_since: Option<Instant>,
}

impl Reader {
    /// Waits for the next events after event `position`. Cancelling it loses no data.
    pub(super) async fn next(&mut self, position: Option<u64>) -> Step {
        loop {
            match self.take_events(position) {
                Ok(Some(batch)) => {
                    if batch.has_content {
                        self.meter.record_frame(batch.bytes.len());
                    }
                    return Step::Events(batch);
                }
                Ok(None) => {}
                Err(reason) => return Step::Failed(reason),
            }
            while !self.has_room() {
                let since = *self.lacks_room_since.get_or_insert_with(Instant::now);
                if since.elapsed() >= MAX_ROOM_WAIT {
                    return Step::Failed("no memory for a long event");
                }
                sleep(ROOM_INTERVAL).await;
            }
            self.lacks_room_since = None;
            match self.response.body_mut().frame().await {
                None if self.splitter.has_partial() => {
                    self.broken = true;
                    return Step::Failed("ended in the middle of an event");
                }
                None => {
                    if let Some(tail) = self.splitter.take_tail() {
                        return Step::Events(Batch {
                            bytes: tail,
                            count: 0,
                            last_id: position,
                            has_content: false,
                        });
                    }
                    return match self.is_delimited {
                        true => Step::End,
                        false => Step::Closed,
                    };
                }
                Some(Err(_)) if self.meter.is_exhausted() => {
                    return Step::Failed(meter::Exhausted::MESSAGE);
                }
                Some(Err(_)) => {
                    self.broken = true;
                    return Step::Failed("connection broke");
                }
                Some(Ok(frame)) => {
                    self.meter.record_frame(0);
                    if let Some(data) = frame.data_ref() {
                        self.splitter.feed(data);
                    }
                }
            }
        }
    }

    /// Takes memory for a long event that is being received; false if there is none now. That of others is
    /// counted with the request.
    fn has_room(&mut self) -> bool {
        let needed = self.splitter.long_event_bytes();
        let lacking = needed.saturating_sub(self.room.bytes());
        if lacking == 0 {
            self.room.shrink_to(needed);
            return true;
        }
        self.room.try_grow(lacking, Class::Large)
            || (self.admission.evict(lacking, Class::Large, None)
                && self.room.try_grow(lacking, Class::Large))
    }

    /// Returns the complete events that are buffered, without those up to `position`.
    fn take_events(&mut self, position: Option<u64>) -> Result<Option<Batch>, &'static str> {
        if let Some(reason) = self.pending_error {
            return Err(reason);
        }
        if self.splitter.is_oversized() {
            return Err("sent an event that exceeds the size limit");
        }
        let mut batch: Option<Batch> = None;
        for event in self.splitter.by_ref() {
            let last_id = batch.as_ref().map_or(position, |b| b.last_id);
            match is_next(last_id, &event) {
                Ok(true) => {}
                Ok(false) => continue,
                Err(reason) if batch.is_none() => return Err(reason),
                // The events before the gap are still forwarded.
                Err(reason) => {
                    self.pending_error = Some(reason);
                    break;
                }
            }
            let has_content = event.has_content();
            batch = Some(match batch {
                None => Batch {
                    bytes: event.bytes,
                    count: 1,
                    last_id: event.id.or(last_id),
                    has_content,
                },
                Some(earlier) => Batch {
                    has_content: earlier.has_content || has_content,
                    bytes: [earlier.bytes, event.bytes].concat().into(),
                    count: earlier.count + 1,
                    last_id: event.id.or(last_id),
                },
            });
        }
        Ok(batch)
    }
}

/// Returns whether an event is to be forwarded after event `position`. Events that the caller
/// already has are skipped; a gap in the ids is an error.
fn is_next(position: Option<u64>, event: &Event) -> Result<bool, &'static str> {
    match (position, event.id) {
        (Some(last), Some(id)) if id <= last => Ok(false),
        (Some(last), Some(id)) if id > last + 1 => Err("skipped an event"),
        _ => Ok(true),
    }
}

/// The response of one endpoint while its events are received.
pub(crate) struct EventSource<D: Dialect> {
    reader: Reader,
    reservation: Reservation<D>,
    conn: Conn,
    info: ResponseInfo,
    /// The planned move off a departing stage.
    migration: Migration,
    /// The move off an ended stage.
    evacuation: Evacuation,
    /// Time of the last event, or the time from which the first one is awaited.
    last_active: Instant,
    has_started: bool,
    /// Idle time after which the head of the chain is queried next.
    next_probe: Duration,
}

impl<D: Dialect> EventSource<D> {
    /// Creates a source whose idle time counts from `last_active`.
    pub(crate) fn new(exchange: Exchange<D>, last_active: Instant) -> Self {
        let Exchange {
            conn,
            head,
            response,
            info,
            reservation,
            ..
        } = exchange;
        let evacuation = Evacuation::new(reservation.worker());
        let admission = reservation.worker().admission.clone();
        Self {
            reader: Reader {
                is_delimited: head.is_delimited(),
                response,
                splitter: Splitter::default(),
                pending_error: None,
                broken: false,
                meter: conn.meter().clone(),
                room: admission.lease(Part::Responses),
                lacks_room_since: None,
                admission,
            },
            reservation,
            conn,
            info,
            migration: Migration::default(),
            evacuation,
            last_active,
            has_started: false,
            next_probe: stall::FIRST_EVENT_PROBE_DELAY,
        }
    }

    pub(super) fn head(&self) -> Head {
        let response = &self.reader.response;
        Head {
            status: response.status(),
            headers: admit::returned(response.headers()),
        }
    }

    /// Returns the state that is shared with those who wait for the attempt.
    pub(crate) fn progress(&self) -> Rc<Progress> {
        self.reservation.progress.clone()
    }

    /// Returns the time since the last event.
    fn idle_time(&self) -> Duration {
        self.last_active.elapsed()
    }

    /// Waits for the next events after event `position`, or the end of the response.
    pub(crate) async fn watch(&mut self, forwarder: &Forwarder<D>, position: Option<u64>) -> Step {
        match self.watch_events(forwarder, position).await {
            Step::Closed => self.confirm_end(forwarder, position).await,
            step => step,
        }
    }

    /// Decides whether a response is whole that ended with its connection after event `position`.
    async fn confirm_end(&mut self, forwarder: &Forwarder<D>, position: Option<u64>) -> Step {
        let has_begun = self.has_started || position.is_some();
        let progress = &self.reservation.progress;
        if forwarder.confirm_end(progress, has_begun, position).await {
            return Step::End;
        }
        self.reader.broken = true;
        Step::Failed("ended with its connection, without a mark of its end")
    }

    /// Waits for the next events after event `position`. While the source is idle, its chain is
    /// checked, and stages that stall or depart are replaced.
    async fn watch_events(&mut self, forwarder: &Forwarder<D>, position: Option<u64>) -> Step {
        // Events that arrived while the caller did not read are not counted as missing.
        let awaited_since = Instant::now();
        let latency_target = forwarder.job.route().latency_target;
        loop {
            let left = forwarder.job.time_left();
            if left.is_zero() {
                return Step::Failed("deadline passed");
            }
            if self.has_started
                && let Some(stage) = self
                    .migration
                    .due(&forwarder.worker, &self.reservation.target)
            {
                // A move that failed is planned again.
                let _ = forwarder.migrate(&mut self.reservation, stage).await;
            }
            let awaited = awaited_since.elapsed();
            let target = &self.reservation.target;
            let due = self
                .evacuation
                .due_in(&forwarder.worker, target, awaited, latency_target);
            if due.is_some_and(|d| d.is_zero()) {
                if let Ok(step) = timeout(READ_TIME, self.reader.next(position)).await {
                    return self.received(step);
                }
                let idle = self.idle_time();
                let (reservation, evacuation) = (&mut self.reservation, &mut self.evacuation);
                let moved = forwarder.evacuate(reservation, evacuation, idle, position);
                if let Some(reason) = moved.await {
                    return Step::Idle(reason);
                }
                continue;
            }
            let wait = self.next_probe.saturating_sub(self.idle_time()).min(left);
            tokio::select! {
                biased;
                step = self.reader.next(position) => return self.received(step),
                () = self.evacuation.changed() => continue,
                () = sleep(due.map_or(wait, |d| d.min(wait))) => {}
            }
            if self.idle_time() < self.next_probe {
                continue;
            }
            let report = tokio::select! {
                biased;
                step = self.reader.next(position) => return self.received(step),
                report = forwarder.query_head(&self.reservation.target) => report,
            };
            let idle = self.idle_time();
            let verdict = forwarder.assess(&mut self.reservation, report, idle).await;
            self.next_probe = self.idle_time() + stall::PROBE_INTERVAL;
            if let stall::Verdict::Failover(reason) = verdict {
                return Step::Idle(reason);
            }
        }
    }

    /// Restarts the idle time if events were received that bring the response forward.
    fn received(&mut self, step: Step) -> Step {
        if let Step::Events(batch) = &step
            && batch.has_content
        {
            if !self.has_started {
                self.reservation.record_first_event();
            }
            let gap = self.has_started.then(|| self.idle_time());
            self.evacuation.record_event(gap);
            self.has_started = true;
            self.last_active = Instant::now();
            self.next_probe = stall::NEXT_EVENT_PROBE_DELAY;
        }
        step
    }

    /// Ends a source whose response was received completely, and keeps its connection.
    pub(super) fn finish(self, forwarder: &Forwarder<D>) {
        self.reservation.end(Outcome::Success, None);
        let headers = self.reader.response.headers();
        forwarder
            .worker
            .pool
            .put(self.conn, headers, self.info.idle_timeout);
    }

    /// Ends a source that failed, and closes its connection.
    pub(crate) fn fail(self, forwarder: &Forwarder<D>, reason: &str) {
        forwarder
            .log
            .record_failure(self.reservation.attempt(), reason, true);
        if self.reader.broken {
            forwarder.inquire(&self.reservation.progress);
        }
        forwarder
            .worker
            .pool
            .close_idle(self.reservation.target.head().addr);
        self.reservation.end(Outcome::Failed, None);
    }
}
