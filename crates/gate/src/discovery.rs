//! Responses for service discovery: the addresses of the nodes, and the readiness of this node.

use crate::body::{self, Body};
use crate::dialect::Dialect;
use crate::view::View;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Response, StatusCode};
use std::time::Duration;

/// Maximum number of addresses in a response; callers don't read more.
const MAX_ADDRESSES: usize = 64;
/// How long callers may cache the list.
pub const ADDRESS_TTL: Duration = Duration::from_secs(1);
/// How long some callers cache it nevertheless.
pub const MAX_ADDRESS_AGE: Duration = ADDRESS_TTL.saturating_mul(3);

/// Returns the addresses of the nodes in `view`. `rotation` shifts the start of the list, so that
/// successive responses cover all nodes when there are more than `MAX_ADDRESSES`.
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

/// Responds to a readiness check: 200 if this node has a view and does not leave, 503 otherwise.
pub fn readiness<S>(view: Option<&View>, leaving: bool) -> Response<Body<S>> {
    let ready = view.is_some() && !leaving;
    let mut response = Response::new(body::full(if ready { "ready\n" } else { "not ready\n" }));
    if !ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}
