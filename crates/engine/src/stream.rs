//! One HTTP/2 stream to an endpoint.

use crate::frame::{Item, Reader, Reply};
use crate::pool::{Error, Result};
use bytes::{Bytes, BytesMut};
use h2::client::ResponseFuture;
use h2::{Reason, RecvStream, SendStream};
use http::{Response, StatusCode, header};
use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::sync::OwnedSemaphorePermit;

/// A stream. Dropped before both sides ended it, it is reset, which tells the endpoint to stop.
#[derive(Debug)]
pub(crate) struct Stream {
    sender: SendStream<Bytes>,
    answer: Answer,
    reader: Reader<Reply>,
    is_ended: bool,
    _permit: OwnedSemaphorePermit,
}

#[derive(Debug)]
enum Answer {
    Head(ResponseFuture),
    Body(RecvStream),
}

/// What the endpoint did.
#[derive(Debug)]
pub(crate) enum Received {
    /// A head or a piece of payload.
    Item(Item<Reply>),
    /// It ended the stream.
    End,
    /// It refused the stream with this status, before any frame.
    Status(StatusCode, Option<Duration>),
    /// What came is no frame.
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

    /// Sends bytes as the endpoint's window allows.
    pub(crate) async fn send(&mut self, mut bytes: Bytes, end: bool) -> Result<()> {
        while !bytes.is_empty() {
            self.sender.reserve_capacity(bytes.len());
            let available = self.available_window().await?.min(bytes.len());
            let part = bytes.split_to(available);
            let is_last = end && bytes.is_empty();
            self.sender
                .send_data(part, is_last)
                .map_err(|_| Error::Reset)?;
        }
        Ok(())
    }

    /// Bytes that may be sent now; waits until it is at least one.
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

    /// Ends the sending side: no more work for this stream.
    pub(crate) fn end(&mut self) {
        self.is_ended = true;
        let _ = self.sender.send_data(Bytes::new(), true);
    }

    /// What the endpoint did next.
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

    /// The whole answer, of at most `limit` bytes.
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

fn retry_after<B>(response: &Response<B>) -> Option<Duration> {
    let value = response.headers().get(header::RETRY_AFTER)?;
    value.to_str().ok()?.parse().ok().map(Duration::from_secs)
}
