//! Answers the question which addresses callers should use.

use crate::answer::{self, Answer};
use crate::dialect::Dialect;
use crate::view::View;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Response, StatusCode};
use std::time::Duration;

/// Most addresses of an answer: callers read no more.
const MOST: usize = 64;
/// How long callers keep an answer. Some keep it three times as long; a node that leaves serves
/// for longer than that.
pub const TTL: Duration = Duration::from_secs(1);

/// The answer, from `view` on; `turn` shifts the list, so that each part of a long one is told.
pub fn answer<D: Dialect, S>(dialect: &D, view: Option<&View>, turn: usize) -> Response<Answer<S>> {
    let nodes = view.map(|v| v.nodes.as_slice()).unwrap_or_default();
    if nodes.is_empty() {
        let mut response = Response::new(answer::whole("{}"));
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        return response;
    }
    let shift = turn % nodes.len();
    let turned = nodes[shift..].iter().chain(&nodes[..shift]);
    let told: Vec<_> = turned.take(MOST).copied().collect();
    let mut response = Response::new(answer::whole(dialect.addresses(&told, TTL)));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// The answer to the question whether this node takes requests.
pub fn ready<S>(view: Option<&View>) -> Response<Answer<S>> {
    let ready = view.is_some_and(|v| !v.leaving);
    let mut response = Response::new(answer::whole(if ready { "ready\n" } else { "not ready\n" }));
    if !ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}
