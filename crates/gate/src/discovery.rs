//! Answers the question which addresses callers should use.

use crate::body::{self, Body};
use crate::dialect::Dialect;
use crate::view::View;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Response, StatusCode};
use std::time::Duration;

/// Most addresses of an answer: callers read no more.
const MAX_ADDRESSES: usize = 64;
/// How long callers keep an answer. Some keep it three times as long; a node that leaves serves
/// for longer than that.
pub const ADDRESS_TTL: Duration = Duration::from_secs(1);

/// The answer, from `view` on; `turn` shifts the list, so that each part of a long one is told.
pub fn addresses<D: Dialect, S>(
    dialect: &D,
    view: Option<&View>,
    rotation: usize,
) -> Response<Body<S>> {
    let nodes = view.map(|v| v.nodes.as_slice()).unwrap_or_default();
    if nodes.is_empty() {
        let mut response = Response::new(body::full("{}"));
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        return response;
    }
    let shift = rotation % nodes.len();
    let rotated = nodes[shift..].iter().chain(&nodes[..shift]);
    let listed: Vec<_> = rotated.take(MAX_ADDRESSES).copied().collect();
    let mut response = Response::new(body::full(dialect.addresses(&listed, ADDRESS_TTL)));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// The answer to the question whether this node takes requests.
pub fn readiness<S>(view: Option<&View>) -> Response<Body<S>> {
    let ready = view.is_some_and(|v| !v.leaving);
    let mut response = Response::new(body::full(if ready { "ready\n" } else { "not ready\n" }));
    if !ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}
