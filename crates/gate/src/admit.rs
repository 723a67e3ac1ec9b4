//! Checks a caller's request against the catalog.

use crate::dialect::{Ask, Dialect};
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
const HOP: [&str; 8] = [
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
    pub ask: Ask,
    /// The route.
    pub route: RouteId,
    /// The caller's team, and its rank if it has one of its own.
    pub team: Option<catalog::team::Team>,
}

/// Checks a head, of which `ask` was read.
pub fn head(catalog: &Catalog, parts: &Parts, ask: Ask) -> Result<Admitted, Refusal> {
    let host = parts.headers.get(HOST).and_then(|h| h.to_str().ok());
    let host = host.or(parts.uri.host()).unwrap_or_default();
    let route = catalog
        .route_id(host, parts.uri.path())
        .ok_or(Refusal::new(Reason::NoRoute))?;
    let team = ask.key.as_deref().and_then(|k| catalog.team(k)).cloned();
    let public = catalog.routes[route as usize].public;
    if catalog.keyed && !public && team.is_none() {
        return Err(Refusal::new(Reason::NoKey));
    }
    Ok(Admitted { ask, route, team })
}

/// Reads a body of at most `most` bytes.
pub async fn body(body: Incoming, most: usize) -> Result<Bytes, Refusal> {
    match Limited::new(body, most).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(Refusal::new(Reason::Large)),
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
    came: Instant,
    draw: u64,
) -> Result<Job, Refusal> {
    let route = &catalog.routes[admitted.route as usize];
    let service = route
        .service(draw)
        .ok_or(Refusal::new(Reason::Unavailable))?;
    let time = admitted.ask.deadline.unwrap_or(route.timeout);
    let until = came + time.min(route.timeout).min(LONGEST);
    let rank = admitted.team.as_ref().and_then(|t| t.priority);
    Ok(Job {
        ask: admitted.ask,
        catalog: catalog.clone(),
        route: admitted.route,
        service,
        rank: rank.unwrap_or(route.priority),
        team: admitted.team.map(|t| t.name),
        method: parts.method,
        uri: parts.uri,
        headers: passed(dialect, &parts.headers),
        body,
        came,
        until,
    })
}

/// Longest time for any request; a far longer one, added to a clock, would overflow it.
const LONGEST: Duration = Duration::from_secs(24 * 3600);

/// Headers that are passed on to an endpoint.
fn passed<D: Dialect>(dialect: &D, headers: &HeaderMap) -> HeaderMap {
    kept(headers, |name| !dialect.withheld(name))
}

/// Headers of an endpoint's answer that are passed on to the caller.
pub fn returned(headers: &HeaderMap) -> HeaderMap {
    kept(headers, |_| true)
}

/// Headers that concern more than one connection and that `wanted` keeps. The length is that of
/// the body as it is sent on.
fn kept(headers: &HeaderMap, wanted: impl Fn(&HeaderName) -> bool) -> HeaderMap {
    let named = connection_names(headers);
    let kept = headers.iter();
    let kept = kept.filter(|(n, _)| !hop(n, &named) && *n != CONTENT_LENGTH && wanted(n));
    kept.map(|(n, v)| (n.clone(), v.clone())).collect()
}

fn hop(name: &HeaderName, named: &[String]) -> bool {
    HOP.contains(&name.as_str()) || named.iter().any(|n| n == name.as_str())
}

/// Headers that `Connection` names as concerning this connection only.
fn connection_names(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(CONNECTION).iter();
    let values = values.filter_map(|v| v.to_str().ok());
    let names = values.flat_map(|v| v.split(','));
    names.map(|n| n.trim().to_ascii_lowercase()).collect()
}
