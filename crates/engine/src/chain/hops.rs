//! Open streams of an attempt.

use super::Cause;
use crate::frame::{Item, Place, Reply};
use crate::pool::{Counters, Error};
use crate::stream::{Received, Stream};
use bytes::Bytes;
use std::future::poll_fn;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::timeout;

/// Time limit for the stages to end their sides of the streams after a complete answer.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Failure of an attempt and the index of the faulty hop.
#[derive(Clone, Copy, Debug)]
pub(super) struct Failure {
    pub(super) hop: usize,
    pub(super) cause: Cause,
    pub(super) retry_after: Option<Duration>,
}

impl Failure {
    pub(super) fn new(hop: usize, cause: Cause) -> Self {
        Self {
            hop,
            cause,
            retry_after: None,
        }
    }
}

/// Failure of one stream.
#[derive(Clone, Copy, Debug)]
pub(super) struct Fault {
    pub(super) cause: Cause,
    pub(super) retry_after: Option<Duration>,
}

impl From<Cause> for Fault {
    fn from(cause: Cause) -> Self {
        Self {
            cause,
            retry_after: None,
        }
    }
}

impl Fault {
    /// Converts this fault to the failure of hop `hop`.
    pub(super) fn at(self, hop: usize) -> Failure {
        Failure {
            hop,
            cause: self.cause,
            retry_after: self.retry_after,
        }
    }
}

/// Result of an operation of an attempt.
pub(super) type Result<T> = std::result::Result<T, Failure>;

/// Stream to one stage.
#[derive(Debug)]
pub(super) struct Link {
    stream: Stream,
    request: u128,
    attempt: u32,
    /// Whether the payload being received belongs to a dropped frame.
    drops_payload: bool,
}

impl Link {
    pub(super) fn new(stream: Stream, request: u128, attempt: u32) -> Self {
        Self {
            stream,
            request,
            attempt,
            drops_payload: false,
        }
    }

    /// Polls for the next item that does not belong to an earlier attempt.
    pub(super) fn poll_item(
        &mut self,
        cx: &mut Context<'_>,
        counters: &Counters,
    ) -> Poll<std::result::Result<Item<Reply>, Fault>> {
        loop {
            let got = match self.stream.poll_next(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(got) => got,
            };
            let item = match got {
                Ok(Received::Item(item)) => item,
                Ok(Received::End | Received::Invalid) => {
                    return Poll::Ready(Err(Cause::Protocol.into()));
                }
                Ok(Received::Status(status, wait)) => {
                    let cause = cause_of_status(status.as_u16());
                    return Poll::Ready(Err(Fault {
                        cause,
                        retry_after: wait,
                    }));
                }
                Err(_) => return Poll::Ready(Err(Cause::Reset.into())),
            };
            if !self.is_stale(&item) {
                return Poll::Ready(Ok(item));
            }
            Counters::add(&counters.stale_frames, 1);
        }
    }

    /// Returns whether the item belongs to an earlier attempt of the request. Such items are
    /// dropped: they can't become part of this attempt's answer. Any other unexpected item is an
    /// error.
    fn is_stale(&mut self, item: &Item<Reply>) -> bool {
        let Item::Head(head) = item else {
            return self.drops_payload;
        };
        let (request, attempt) = match head {
            Reply::Opened(request, attempt) => (*request, *attempt),
            Reply::Refused(..) => return false,
            Reply::Working(place) | Reply::Failed(place) => (place.request, place.attempt),
            Reply::Done { place, .. } | Reply::Token { place, .. } => {
                (place.request, place.attempt)
            }
        };
        self.drops_payload = request == self.request && attempt < self.attempt;
        self.drops_payload
    }

    /// Sends bytes to the stage.
    pub(super) async fn send(&mut self, bytes: Bytes) -> std::result::Result<(), Error> {
        self.stream.send(bytes, false).await
    }
}

/// Returns the cause of a refusal by HTTP status.
fn cause_of_status(status: u16) -> Cause {
    match status {
        404 | 422 => Cause::Unfit,
        429 | 503 => Cause::Busy,
        500..=599 => Cause::Internal,
        _ => Cause::Protocol,
    }
}

/// Streams to all stages, in order.
#[derive(Debug)]
pub(super) struct Hops<'a> {
    pub(super) links: Vec<Link>,
    pub(super) counters: &'a Counters,
}

impl Hops<'_> {
    /// Waits for the next head from hop `at`.
    pub(super) async fn next_head(&mut self, at: usize) -> Result<Reply> {
        match self.next_item(at).await? {
            Item::Head(head) => Ok(head),
            Item::Payload(_) => Err(Failure::new(at, Cause::Protocol)),
        }
    }

    /// Waits for the next chunk of payload from hop `at`.
    pub(super) async fn next_payload(&mut self, at: usize) -> Result<Bytes> {
        match self.next_item(at).await? {
            Item::Payload(chunk) => Ok(chunk),
            Item::Head(_) => Err(Failure::new(at, Cause::Protocol)),
        }
    }

    /// Sends bytes to hop `at`.
    pub(super) async fn send(&mut self, at: usize, bytes: Bytes) -> Result<()> {
        self.links[at]
            .send(bytes)
            .await
            .map_err(|_| Failure::new(at, Cause::Reset))
    }

    /// Waits for the next item from hop `at`. The other hops are polled at the same time, so that
    /// the failure of a stage is detected at once even while another stage is working. An item from
    /// another hop is a protocol violation.
    async fn next_item(&mut self, at: usize) -> Result<Item<Reply>> {
        poll_fn(|cx| {
            if let Poll::Ready(got) = self.links[at].poll_item(cx, self.counters) {
                return Poll::Ready(got.map_err(|fault| fault.at(at)));
            }
            for (hop, link) in self
                .links
                .iter_mut()
                .enumerate()
                .filter(|(hop, _)| *hop != at)
            {
                if let Poll::Ready(got) = link.poll_item(cx, self.counters) {
                    let fault = got.err().unwrap_or(Cause::Protocol.into());
                    return Poll::Ready(Err(fault.at(hop)));
                }
            }
            Poll::Pending
        })
        .await
    }

    /// Ends all streams after a complete answer, so that the stages release their slots.
    pub(super) async fn close(mut self) {
        self.links.iter_mut().for_each(|link| link.stream.end());
        let ends = self
            .links
            .iter_mut()
            .map(|link| poll_fn(|cx| link.poll_item(cx, self.counters).map(|_| ())));
        let _ = timeout(CLOSE_TIMEOUT, futures::future::join_all(ends)).await;
    }
}

/// Returns the place of a step at a hop.
pub(super) fn place(request: u128, attempt: u32, step: u32, hop: &super::Hop) -> Place {
    Place {
        request,
        attempt,
        step,
        from: hop.from,
        to: hop.to,
    }
}
