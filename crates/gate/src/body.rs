//! Bodies of responses to callers.

use bytes::Bytes;
use http_body_util::{Either, StreamBody};
use memory::content::{Content, ContentBody};

/// A buffered body, or a stream `S` of frames.
pub type Body<S> = Either<ContentBody, StreamBody<S>>;

/// Creates a buffered body whose memory is not counted.
pub fn full<S>(body: impl Into<Bytes>) -> Body<S> {
    content(Content::from(body.into()))
}

/// Creates a buffered body.
pub fn content<S>(content: Content) -> Body<S> {
    Either::Left(content.into_body())
}

/// Creates a streamed body.
pub fn stream<S>(stream: S) -> Body<S> {
    Either::Right(StreamBody::new(stream))
}
