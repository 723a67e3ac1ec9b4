//! Responses whose body is in memory.

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderValue};
use http_body_util::Full;
use serde::Serialize;
use viz::{Body, Response};

/// Returns a response with `value` as JSON.
pub fn json<T: Serialize>(value: &T) -> Response {
    let body = serde_json::to_vec(value).unwrap_or_default();
    with_content_type(body, "application/json")
}

/// Returns a response with a body of the given media type.
pub fn with_content_type(body: impl Into<Bytes>, media_type: &'static str) -> Response {
    let mut response = Response::new(Body::from(Full::from(body.into())));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(media_type));
    response
}
