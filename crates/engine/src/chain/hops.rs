//! The open streams of an attempt.

use super::Cause;
use crate::frame::{Item, Place, Reply};
use crate::pool::{Counters, Error};
use crate::stream::{Received, Stream};
use bytes::Bytes;
use std::future::poll_fn;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::timeout;

/// Longest wait for the stages to end their sides after a whole answer.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// What went wrong, and where.
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

/// What went wrong with one stream.
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
    /// The failure of the hop whose stream it is.
    pub(super) fn at(self, hop: usize) -> Failure {
        Failure {
            hop,
            cause: self.cause,
            retry_after: self.retry_after,
        }
    }
}

/// Result of a part of an attempt.
pub(super) type Result<T> = std::result::Result<T, Failure>;

/// One stage's stream.
#[derive(Debug)]
pub(super) struct Link {
    stream: Stream,
    request: u128,
    attempt: u32,
    /// Whether the payload that comes belongs to a dropped frame.
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

    /// The next item that isn't of an earlier attempt.
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

    /// Whether the item is a late one of an ended attempt. Such frames can't be part of this
    /// attempt's answer, so that dropping them is enough; anything else that doesn't fit is an
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

    pub(super) async fn send(&mut self, bytes: Bytes) -> std::result::Result<(), Error> {
        self.stream.send(bytes, false).await
    }
}

fn cause_of_status(status: u16) -> Cause {
    match status {
        404 | 422 => Cause::Unfit,
        429 | 503 => Cause::Busy,
        500..=599 => Cause::Internal,
        _ => Cause::Protocol,
    }
}

/// The streams of all stages, in order.
#[derive(Debug)]
pub(super) struct Hops<'a> {
    pub(super) links: Vec<Link>,
    pub(super) counters: &'a Counters,
}

impl Hops<'_> {
    /// The next head from hop `at`.
    pub(super) async fn next_head(&mut self, at: usize) -> Result<Reply> {
        match self.next_item(at).await? {
            Item::Head(head) => Ok(head),
            Item::Payload(_) => Err(Failure::new(at, Cause::Protocol)),
        }
    }

    /// The next piece of payload from hop `at`.
    pub(super) async fn next_payload(&mut self, at: usize) -> Result<Bytes> {
        match self.next_item(at).await? {
            Item::Payload(piece) => Ok(piece),
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

    /// The next item from hop `at`. The other hops are watched meanwhile: a stage that dies while
    /// another one works is then known at once, and not when its turn comes.
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

    /// Ends all streams after a whole answer, so that the stages give up their slots.
    pub(super) async fn close(mut self) {
        self.links.iter_mut().for_each(|link| link.stream.end());
        let ends = self
            .links
            .iter_mut()
            .map(|link| poll_fn(|cx| link.poll_item(cx, self.counters).map(|_| ())));
        let _ = timeout(CLOSE_TIMEOUT, futures::future::join_all(ends)).await;
    }
}

/// The place of a step at a hop.
pub(super) fn place(request: u128, attempt: u32, step: u32, hop: &super::Hop) -> Place {
    Place {
        request,
        attempt,
        step,
        from: hop.from,
        to: hop.to,
    }
}
