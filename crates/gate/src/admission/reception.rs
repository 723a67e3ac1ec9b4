//! Bodies that are being received.

use super::{Admission, Holder, MAX_ROOM_TRIES, Registration, SMALL_BODY_BYTES, Way};
use crate::refusal::Reason;
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use memory::budget::{Class, Lease, Part};
use memory::buffer::Buffer;
use memory::content::Content;
use response::meter::Meter;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Pause before a response looks for room again when nobody has to give way.
const ROOM_INTERVAL: Duration = Duration::from_millis(50);

/// Bounds of a request's body.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    /// Maximum length in bytes.
    pub(crate) max_bytes: usize,
    /// When the caller no longer waits for the response.
    pub(crate) deadline: Instant,
    /// Longest time without a byte.
    pub(crate) idle_time: Duration,
}

/// What ended a step of the reception.
enum Step {
    /// The body has ended.
    End,
    /// The connection broke, or the body is malformed.
    Broken,
    /// The body exceeds its maximum length.
    TooLong,
    /// The budget has no room for the next bytes.
    Full,
}

/// A body that is being received. The memory is given back before the registration is.
struct Reception {
    body: Incoming,
    buffer: Buffer,
    /// Bytes that were received and are not in the buffer yet.
    rest: Bytes,
    max_bytes: usize,
    /// Bounds the work for a response.
    meter: Option<Meter>,
}

impl Reception {
    fn new(lease: Lease, body: Incoming, max_bytes: usize, meter: Option<Meter>) -> Self {
        let expected = body.size_hint().exact();
        let expected = expected.map(|e| usize::try_from(e).unwrap_or(usize::MAX));
        Self {
            buffer: Buffer::new(lease, expected),
            body,
            rest: Bytes::new(),
            max_bytes,
            meter,
        }
    }

    fn poll_step(&mut self, cx: &mut Context<'_>) -> Poll<Step> {
        loop {
            if !self.buffer.store(&mut self.rest) {
                return Poll::Ready(Step::Full);
            }
            let frame = match ready!(Pin::new(&mut self.body).poll_frame(cx)) {
                None => return Poll::Ready(Step::End),
                Some(Err(_)) => return Poll::Ready(Step::Broken),
                Some(Ok(frame)) => frame,
            };
            // Trailers are not passed on.
            self.rest = frame.into_data().unwrap_or_default();
            if let Some(meter) = &self.meter {
                meter.record_part(self.rest.len());
                if meter.is_exhausted() {
                    return Poll::Ready(Step::Broken);
                }
            }
            if self.buffer.len() + self.rest.len() > self.max_bytes {
                return Poll::Ready(Step::TooLong);
            }
        }
    }

    /// Receives what has arrived, and records the progress.
    async fn step(&mut self, holder: &Holder) -> Step {
        poll_fn(|cx| {
            let before = self.buffer.len();
            let step = self.poll_step(cx);
            let received = self.buffer.len() - before;
            if received > 0 {
                holder.record(received);
                holder.set_bytes(self.buffer.cost());
            }
            step
        })
        .await
    }
}

impl Admission {
    /// Receives the body of a request completely.
    ///
    /// # Errors
    ///
    /// Returns the reason why the request is refused.
    pub(crate) async fn receive(
        self: &Rc<Self>,
        body: Incoming,
        arrival: &Arrival,
    ) -> Result<Content, Reason> {
        if body.is_end_stream() {
            return Ok(Content::default());
        }
        let max_bytes = arrival.max_bytes;
        let holder = Holder::new(Way::Body, Some(arrival.deadline), arrival.idle_time);
        let registration = self.register(holder);
        let mut reception = Reception::new(self.lease(Part::Bodies), body, max_bytes, None);
        let received = self.receive_all(&mut reception, &registration).await;
        // The memory of a refused body is given back before its registration is.
        received.map(|()| reception.buffer.finish())
    }

    async fn receive_all(
        self: &Rc<Self>,
        reception: &mut Reception,
        registration: &Registration,
    ) -> Result<(), Reason> {
        let holder = registration.holder();
        let mut tries = 0;
        loop {
            let step = tokio::select! {
                biased;
                step = reception.step(holder) => step,
                reason = holder.ended() => return Err(reason),
            };
            match step {
                Step::End => return Ok(()),
                Step::Broken => return Err(Reason::Malformed),
                Step::TooLong => return Err(Reason::BodyTooLarge),
                Step::Full => {
                    let (needed, class) = (reception.buffer.needed(), reception.buffer.class());
                    let has_room =
                        tries < MAX_ROOM_TRIES && self.make_room(needed, class, Some(holder)).await;
                    if !has_room {
                        return Err(Reason::Overloaded);
                    }
                    tries += 1;
                    if reception.buffer.try_reserve(class) {
                        tries = 0;
                    }
                }
            }
        }
    }

    /// Receives the body of a response completely by `deadline`; `None` if it is cut off, exceeds
    /// `max_bytes` or the work that `meter` allows, or finds no room. A response may have run, so it waits for
    /// room: one of known length for all of it, so that those that wait hold nothing.
    pub(crate) async fn collect(
        self: &Rc<Self>,
        body: Incoming,
        max_bytes: usize,
        deadline: Instant,
        meter: &Meter,
    ) -> Option<Content> {
        if body.is_end_stream() {
            return Some(Content::default());
        }
        let max_bytes = max_bytes.min(self.max_body_bytes());
        let expected = body.size_hint().exact().unwrap_or_default();
        if usize::try_from(expected).is_ok_and(|e| e > max_bytes) {
            return None;
        }
        let mut room = self.lease(Part::Responses);
        let cost = Buffer::cost_of(expected as usize);
        if cost > SMALL_BODY_BYTES {
            while !room.try_grow(cost, Class::Large) {
                self.wait_for_room(cost, Class::Large, deadline).await?;
            }
        }
        let mut reception = Reception::new(room, body, max_bytes, Some(meter.clone()));
        // Only one that waits for room in its middle has to give way.
        let mut waiting: Option<Registration> = None;
        loop {
            let step = tokio::select! {
                biased;
                step = poll_fn(|cx| reception.poll_step(cx)) => step,
                () = sleep_until(deadline) => return None,
            };
            match step {
                Step::End => return Some(reception.buffer.finish()),
                Step::Broken | Step::TooLong => return None,
                Step::Full => {}
            }
            let time_left = deadline.saturating_duration_since(Instant::now());
            let register = || self.register(Holder::new(Way::Body, None, time_left));
            let holder = waiting.get_or_insert_with(register).holder().clone();
            holder.set_bytes(reception.buffer.cost());
            let (needed, class) = (reception.buffer.needed(), reception.buffer.class());
            tokio::select! {
                _ = holder.ended() => return None,
                room = self.wait_for_room(needed, class, deadline) => room?,
            }
        }
    }

    /// Waits until there may be room for a response; `None` once its deadline has passed.
    async fn wait_for_room(
        self: &Rc<Self>,
        bytes: usize,
        class: Class,
        deadline: Instant,
    ) -> Option<()> {
        if Instant::now() >= deadline {
            return None;
        }
        if !self.make_room(bytes, class, None).await {
            tokio::time::sleep(ROOM_INTERVAL).await;
        }
        Some(())
    }
}
