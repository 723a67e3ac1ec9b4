//! Checks a caller's request against the catalog.

use crate::dialect::{Dialect, RequestInfo};
use crate::job::Job;
use crate::refusal::{Reason, Refusal};
use bytes::Bytes;
use catalog::{Catalog, RouteId};
use http::header::{CONNECTION, CONTENT_LENGTH, HOST};
use http::request::Parts;
use http::{HeaderMap, HeaderName};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Headers that concern one connection only.
const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// What the head of a request was checked to be.
#[derive(Debug)]
pub struct Admitted {
    /// What the head says.
    pub info: RequestInfo,
    /// The route.
    pub route: RouteId,
    /// The caller's team, and its rank if it has one of its own.
    pub team: Option<catalog::team::Team>,
}

/// Checks a head, of which `ask` was read.
pub fn head(catalog: &Catalog, parts: &Parts, info: RequestInfo) -> Result<Admitted, Refusal> {
    let host = parts.headers.get(HOST).and_then(|h| h.to_str().ok());
    let host = host.or(parts.uri.host()).unwrap_or_default();
    let route = catalog
        .route_id(host, parts.uri.path())
        .ok_or(Refusal::new(Reason::NoRoute))?;
    let team = info.key.as_deref().and_then(|k| catalog.team(k)).cloned();
    let public = catalog.routes[route as usize].public;
    if catalog.requires_key && !public && team.is_none() {
        return Err(Refusal::new(Reason::UnknownKey));
    }
    Ok(Admitted { info, route, team })
}

/// Reads a body of at most `most` bytes.
pub async fn body(body: Incoming, max_bytes: usize) -> Result<Bytes, Refusal> {
    match Limited::new(body, max_bytes).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(Refusal::new(Reason::BodyTooLarge)),
        Err(_) => Err(Refusal::new(Reason::Malformed)),
    }
}

/// The request that goes on, from what was checked.
pub fn job<D: Dialect>(
    dialect: &D,
    catalog: &Arc<Catalog>,
    admitted: Admitted,
    parts: Parts,
    body: Bytes,
    received_at: Instant,
    random: u64,
) -> Result<Job, Refusal> {
    let route = &catalog.routes[admitted.route as usize];
    let service = route
        .service(random)
        .ok_or(Refusal::new(Reason::Unavailable))?;
    let timeout = admitted.info.timeout.unwrap_or(route.timeout);
    let deadline = received_at + timeout.min(route.timeout).min(MAX_TIMEOUT);
    let priority = admitted.team.as_ref().and_then(|t| t.priority);
    Ok(Job {
        info: admitted.info,
        catalog: catalog.clone(),
        route: admitted.route,
        service,
        priority: priority.unwrap_or(route.priority),
        team: admitted.team.map(|t| t.name),
        method: parts.method,
        uri: parts.uri,
        headers: forwarded(dialect, &parts.headers),
        body,
        received_at,
        deadline,
    })
}

/// Longest time for any request; a far longer one, added to a clock, would overflow it.
const MAX_TIMEOUT: Duration = Duration::from_secs(24 * 3600);

/// Headers that are passed on to an endpoint.
fn forwarded<D: Dialect>(dialect: &D, headers: &HeaderMap) -> HeaderMap {
    filtered(headers, |name| !dialect.is_stripped(name))
}

/// Headers of an endpoint's answer that are passed on to the caller.
pub fn returned(headers: &HeaderMap) -> HeaderMap {
    filtered(headers, |_| true)
}

/// Headers that concern more than one connection and that `wanted` keeps. The length is that of
/// the body as it is sent on.
fn filtered(headers: &HeaderMap, keep: impl Fn(&HeaderName) -> bool) -> HeaderMap {
    let listed = connection_options(headers);
    let filtered = headers.iter();
    let filtered =
        filtered.filter(|(n, _)| !is_hop_by_hop(n, &listed) && *n != CONTENT_LENGTH && keep(n));
    filtered.map(|(n, v)| (n.clone(), v.clone())).collect()
}

fn is_hop_by_hop(name: &HeaderName, listed: &[String]) -> bool {
    HOP_BY_HOP.contains(&name.as_str()) || listed.iter().any(|n| n == name.as_str())
}

/// Headers that `Connection` names as concerning this connection only.
fn connection_options(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(CONNECTION).iter();
    let values = values.filter_map(|v| v.to_str().ok());
    let names = values.flat_map(|v| v.split(','));
    names.map(|n| n.trim().to_ascii_lowercase()).collect()
}
