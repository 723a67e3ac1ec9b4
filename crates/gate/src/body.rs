//! Bodies of responses to callers.

use crate::connection;
use bytes::Bytes;
use http_body_util::{Either, StreamBody};
use hyper::body::{Frame, SizeHint};
use memory::content::{Content, ContentBody};
use std::pin::Pin;
use std::task::{Context, Poll};

/// A buffered body, or a stream `S` of frames.
pub type Body<S> = Either<ContentBody, StreamBody<Pin<Box<S>>>>;

/// Creates a buffered body whose memory is not counted.
pub fn full<S>(body: impl Into<Bytes>) -> Body<S> {
    content(Content::from(body.into()))
}

/// Creates a buffered body.
pub fn content<S>(content: Content) -> Body<S> {
    Either::Left(content.into_body())
}

/// Creates a streamed body. It is allocated by itself, since the HTTP library keeps space for a body in each
/// connection.
pub fn stream<S>(stream: S) -> Body<S> {
    Either::Right(StreamBody::new(Box::pin(stream)))
}

/// A body that notifies its connection when it was passed on completely, or dropped.
pub(crate) struct Tracked<B> {
    body: B,
    _response: connection::Response,
}

impl<B> Tracked<B> {
    pub(crate) fn new(body: B, response: connection::Response) -> Self {
        Self {
            body,
            _response: response,
        }
    }
}

impl<B: hyper::body::Body + Unpin> hyper::body::Body for Tracked<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
