//! Admission of requests: checks them against the catalog.

use crate::admission::{self, SMALL_BODY_BYTES};
use crate::dialect::{Dialect, RequestInfo};
use crate::job::Job;
use crate::kept;
use crate::refusal::{Reason, Refusal};
use catalog::{Catalog, RouteId};
use http::header::{CONNECTION, CONTENT_LENGTH, HOST};
use http::request::Parts;
use http::{HeaderMap, HeaderName};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use memory::budget::Lease;
use memory::content::Content;
use std::cell::OnceCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// Hop-by-hop headers, which concern a single connection and are not forwarded (RFC 9110, section
/// 7.6.1).
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

/// Maximum time for reading the rest of a short body of a refused request.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(100);

/// Result of checking a request's head.
#[derive(Debug)]
pub struct Admitted {
    /// Metadata from the request's headers.
    pub info: RequestInfo,
    /// The matching route.
    pub route: RouteId,
    /// The caller's team, with its priority if it has one of its own; `None` if no team has the
    /// key.
    pub team: Option<catalog::team::Team>,
}

/// Checks the head of a request, whose headers were parsed into `info`.
///
/// Refuses requests that match no route, and requests without a known key if the catalog and the
/// route require one.
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

/// Reads the body of a refused request and drops it, if it is short and arrives at once. Returns whether it
/// was read completely. If not, the connection can't be used for another request.
pub(crate) async fn discard_body(body: Incoming) -> bool {
    let declared = body.size_hint().lower();
    if declared > SMALL_BODY_BYTES as u64 {
        return false;
    }
    let mut body = Limited::new(body, SMALL_BODY_BYTES);
    let rest = async {
        loop {
            match body.frame().await {
                None => return true,
                Some(Ok(_)) => {}
                Some(Err(_)) => return false,
            }
        }
    };
    timeout(DISCARD_TIMEOUT, rest).await.unwrap_or(false)
}

/// Returns the memory that a request takes while it is in flight, without its body, in bytes.
pub(crate) fn cost(parts: &Parts, info: &RequestInfo) -> usize {
    let fields = parts.headers.iter();
    let head_bytes: usize = fields.map(|(n, v)| n.as_str().len() + v.len()).sum();
    let head_bytes = head_bytes + parts.uri.path().len();
    let fields = parts.headers.len() + info.shared_parts.len();
    admission::request_cost(head_bytes, fields)
}

/// The memory of a request: that of its head and of its state, and its body.
pub(crate) struct Load {
    pub(crate) room: Lease,
    pub(crate) body: Content,
}

/// Builds the job from the parts of an admitted request.
///
/// `random` selects the service if the route splits its traffic among several.
pub(crate) fn job<D: Dialect>(
    dialect: &D,
    catalog: &Arc<Catalog>,
    admitted: Admitted,
    parts: Parts,
    load: Load,
    received_at: Instant,
    random: u64,
) -> Result<Job, Refusal> {
    let route = &catalog.routes[admitted.route as usize];
    let service = route
        .service(random)
        .ok_or(Refusal::new(Reason::Unavailable))?;
    let deadline = deadline(catalog, &admitted, received_at);
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
        body: Rc::new(kept::Body::new(load.body)),
        _room: load.room,
        received_at,
        deadline,
        features: OnceCell::new(),
        parts: OnceCell::new(),
    })
}

/// Returns the deadline of an admitted request: the caller's timeout, or the route's if that is shorter.
pub fn deadline(catalog: &Catalog, admitted: &Admitted, received_at: Instant) -> Instant {
    let limit = catalog.routes[admitted.route as usize].timeout;
    let timeout = admitted.info.timeout.unwrap_or(limit);
    received_at + timeout.min(limit).min(MAX_TIMEOUT)
}

/// Upper bound on the time of any request; a value far above it would overflow `Instant`.
const MAX_TIMEOUT: Duration = Duration::from_secs(24 * 3600);

/// Returns the request headers that are forwarded to an endpoint.
fn forwarded<D: Dialect>(dialect: &D, headers: &HeaderMap) -> HeaderMap {
    filtered(headers, |name| !dialect.is_stripped(name))
}

/// Returns the headers of an endpoint's response that are forwarded to the caller.
pub fn returned(headers: &HeaderMap) -> HeaderMap {
    filtered(headers, |_| true)
}

/// Returns the end-to-end headers for which `keep` holds. `Content-Length` is omitted; it is set
/// anew from the body that is sent.
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

/// Returns the headers that `Connection` declares as hop-by-hop.
fn connection_options(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(CONNECTION).iter();
    let values = values.filter_map(|v| v.to_str().ok());
    let names = values.flat_map(|v| v.split(','));
    names.map(|n| n.trim().to_ascii_lowercase()).collect()
}
