//! Bodies of answers.

use bytes::Bytes;
use http_body_util::{Either, Full, StreamBody};

/// A body that is there, or one that comes as a stream `S` of frames.
pub type Body<S> = Either<Full<Bytes>, StreamBody<S>>;

/// A body that is there.
pub fn full<S>(body: impl Into<Bytes>) -> Body<S> {
    Either::Left(Full::new(body.into()))
}

/// A body that comes as a stream.
pub fn stream<S>(stream: S) -> Body<S> {
    Either::Right(StreamBody::new(stream))
}
