//! HTTP/2 stream to an endpoint.

use crate::frame::{Item, Reader, Reply};
use crate::pool::{Error, Result};
use bytes::{Bytes, BytesMut};
use h2::client::ResponseFuture;
use h2::{Reason, RecvStream, SendStream};
use http::{Response, StatusCode, header};
use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::{Duration, SystemTime};
use tokio::sync::OwnedSemaphorePermit;

/// A stream to an endpoint. If it is dropped before it has ended, it is reset, so that the endpoint
/// stops its work.
#[derive(Debug)]
pub(crate) struct Stream {
    sender: SendStream<Bytes>,
    answer: Answer,
    reader: Reader<Reply>,
    is_ended: bool,
    _permit: OwnedSemaphorePermit,
}

/// State of the response.
#[derive(Debug)]
enum Answer {
    Head(ResponseFuture),
    Body(RecvStream),
}

/// What was received from the endpoint.
#[derive(Debug)]
pub(crate) enum Received {
    /// A head or a chunk of payload.
    Item(Item<Reply>),
    /// The endpoint ended the stream at the end of a frame.
    End,
    /// The endpoint refused the stream with this status and retry-after delay, before any frame.
    Status(StatusCode, Option<Duration>),
    /// The received bytes are not a valid frame, or end within one.
    Invalid,
}

impl Stream {
    pub(crate) fn new(
        response: ResponseFuture,
        sender: SendStream<Bytes>,
        permit: OwnedSemaphorePermit,
    ) -> Self {
        Self {
            sender,
            answer: Answer::Head(response),
            reader: Reader::default(),
            is_ended: false,
            _permit: permit,
        }
    }

    /// Sends all bytes, waiting for the endpoint's flow-control window. If `end` is set, the last
    /// DATA frame ends the sending side.
    pub(crate) async fn send(&mut self, mut bytes: Bytes, end: bool) -> Result<()> {
        while !bytes.is_empty() {
            self.sender.reserve_capacity(bytes.len());
            let available = self.available_window().await?.min(bytes.len());
            let chunk = bytes.split_to(available);
            let is_last = end && bytes.is_empty();
            self.sender
                .send_data(chunk, is_last)
                .map_err(|_| Error::Reset)?;
        }
        Ok(())
    }

    /// Returns the number of bytes that may be sent now. Waits until it is at least one.
    async fn available_window(&mut self) -> Result<usize> {
        if self.sender.capacity() > 0 {
            return Ok(self.sender.capacity());
        }
        poll_fn(|cx| {
            loop {
                match ready!(self.sender.poll_capacity(cx)) {
                    Some(Ok(0)) => {}
                    Some(Ok(available)) => return Poll::Ready(Ok(available)),
                    Some(Err(_)) | None => return Poll::Ready(Err(Error::Reset)),
                }
            }
        })
        .await
    }

    /// Ends the sending side. No more work follows on this stream.
    pub(crate) fn end(&mut self) {
        self.is_ended = true;
        let _ = self.sender.send_data(Bytes::new(), true);
    }

    /// Polls for the next item or the end of the stream.
    pub(crate) fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Result<Received>> {
        loop {
            match self.reader.read() {
                Ok(Some(item)) => return Poll::Ready(Ok(Received::Item(item))),
                Ok(None) => {}
                Err(_) => return Poll::Ready(Ok(Received::Invalid)),
            }
            match ready!(self.poll_chunk(cx)) {
                Ok(Ok(Some(chunk))) => self.reader.push(chunk),
                Ok(Ok(None)) if self.reader.is_at_frame_end() => {
                    return Poll::Ready(Ok(Received::End));
                }
                Ok(Ok(None)) => return Poll::Ready(Ok(Received::Invalid)),
                Ok(Err(status)) => return Poll::Ready(Ok(status)),
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }

    /// Polls for the next chunk of the body. The inner error is a refusal by status.
    fn poll_chunk(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<std::result::Result<Option<Bytes>, Received>>> {
        loop {
            match &mut self.answer {
                Answer::Head(response) => {
                    let response = ready!(Pin::new(response).poll(cx)).map_err(reset)?;
                    if response.status() != StatusCode::OK {
                        let wait = retry_after(&response);
                        return Poll::Ready(Ok(Err(Received::Status(response.status(), wait))));
                    }
                    self.answer = Answer::Body(response.into_body());
                }
                Answer::Body(body) => {
                    let Some(chunk) = ready!(body.poll_data(cx)) else {
                        return Poll::Ready(Ok(Ok(None)));
                    };
                    let chunk = chunk.map_err(reset)?;
                    let _ = body.flow_control().release_capacity(chunk.len());
                    return Poll::Ready(Ok(Ok(Some(chunk))));
                }
            }
        }
    }

    /// Returns the complete response, whose body has at most `limit` bytes.
    pub(crate) async fn collect(&mut self, limit: usize) -> Result<Response<Bytes>> {
        let Answer::Head(response) = &mut self.answer else {
            return Err(Error::Format);
        };
        let (parts, mut body) = response.await.map_err(reset)?.into_parts();
        let mut bytes = BytesMut::new();
        while let Some(chunk) = body.data().await {
            let chunk = chunk.map_err(reset)?;
            if bytes.len() + chunk.len() > limit {
                return Err(Error::Format);
            }
            bytes.extend_from_slice(&chunk);
            let _ = body.flow_control().release_capacity(chunk.len());
        }
        self.is_ended = true;
        Ok(Response::from_parts(parts, bytes.freeze()))
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        if !self.is_ended {
            self.sender.send_reset(Reason::CANCEL);
        }
    }
}

fn reset(_: h2::Error) -> Error {
    Error::Reset
}

/// Returns the delay that a response asks for: seconds, also with a fraction, or a date (RFC 9110,
/// section 10.2.3). A date counts from the date of the response, so that the endpoint's clock may be
/// wrong. A past one is ignored: without a date of the response, it can be a clock that is behind.
fn retry_after<B>(response: &Response<B>) -> Option<Duration> {
    let text = |name| response.headers().get(name)?.to_str().ok().map(str::trim);
    let date = |name| httpdate::parse_http_date(text(name)?).ok();
    if let Ok(seconds) = text(header::RETRY_AFTER)?.parse() {
        return Duration::try_from_secs_f64(seconds).ok();
    }
    let end = date(header::RETRY_AFTER)?;
    let now = date(header::DATE).unwrap_or_else(SystemTime::now);
    end.duration_since(now).ok()
}
