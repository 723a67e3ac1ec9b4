//! HTTP handlers of the callers' listener.

pub mod call;
pub mod complete;
pub mod discover;
pub mod forward;
mod hop;
pub mod key;

use crate::api::error::Error;
use crate::api::header::{REQUEST_ID, insert_request_id};
use crate::core::Tx;
use crate::limits::{Limits, RequestLimits};
use crate::metrics::Metrics;
use crate::request_body;
use crate::snapshot::{SharedSnapshot, Snapshot};
use engine::pool::Pool;
use http::StatusCode;
use rand::rngs::StdRng;
use route::request::Id;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;
use viz::{IntoResponse, Request, Response, Router};
use wire::auth::Key;

/// Retry-after delay while no bundle is in force yet.
const STARTING_RETRY_AFTER: Duration = Duration::from_secs(1);

/// State shared by the handlers of one worker.
pub struct Shared {
    /// Sends commands to the worker's core.
    pub tx: Tx,
    /// Key that all nodes share; marks requests that a node forwards.
    pub peer_key: Key,
    /// The snapshot that the control thread publishes.
    pub shared_snapshot: SharedSnapshot,
    /// Connection pool of this worker.
    pub pool: Pool,
    /// Limits of the listener.
    pub limits: Limits,
    /// Defaults and limits of callers' requests.
    pub request_limits: RequestLimits,
    /// Seconds for which callers may cache a list of addresses.
    pub address_ttl: u64,
    /// Counters of the request path.
    pub metrics: Metrics,
    /// Origin of the router's clock.
    pub start: Instant,
    /// Generator of request ids and of the order of addresses. Only this worker's thread takes the
    /// lock.
    pub rng: Mutex<StdRng>,
}

/// Handle of the shared state.
pub type State = Arc<Shared>;

impl Shared {
    /// Returns the newest snapshot, or an error while no bundle is in force.
    pub fn snapshot(&self) -> Result<Arc<Snapshot>, Error> {
        self.shared_snapshot.load_full().ok_or_else(|| {
            let message = "no bundle is in force on this node yet";
            Error::new(StatusCode::SERVICE_UNAVAILABLE, "starting", message)
                .with_retry_after(STARTING_RETRY_AFTER)
        })
    }

    /// Returns a new request id. Its 128 random bits make it unique across all nodes.
    pub fn new_id(&self) -> Id {
        use rand::RngExt;
        self.rng().random()
    }

    /// Locks the generator. Poisoning is ignored, because a panic can't leave it in an invalid
    /// state.
    pub fn rng(&self) -> std::sync::MutexGuard<'_, StdRng> {
        self.rng.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Returns the time on the router's clock that is `wait` from now, limited to the maximum
    /// deadline.
    pub fn deadline(&self, wait: Option<Duration>) -> route::Now {
        let wait = wait.unwrap_or(self.request_limits.default_deadline);
        self.start.elapsed() + wait.min(self.request_limits.max_deadline)
    }
}

/// Returns the routes of the callers' listener.
pub fn routes(state: State) -> Router {
    let mut router = Router::new();
    let s = state.clone();
    router = router.post("/v1/chat/completions", move |mut req: Request| {
        let s = s.clone();
        async move {
            let result = complete::chat(&s, &mut req).await;
            finish(&s, req, result).await
        }
    });
    let s = state.clone();
    router = router.post("/v1/completions", move |mut req: Request| {
        let s = s.clone();
        async move {
            let result = complete::text(&s, &mut req).await;
            finish(&s, req, result).await
        }
    });
    let s = state.clone();
    router = router.get("/v1/models", move |req: Request| {
        let s = s.clone();
        async move {
            let result = discover::models(&s, &req);
            finish(&s, req, result).await
        }
    });
    let s = state.clone();
    router = router.get("/v1/addresses", move |req: Request| {
        let s = s.clone();
        async move {
            let result = discover::addresses(&s, &req);
            finish(&s, req, result).await
        }
    });
    let s = state.clone();
    router = router.post("/v1/tickets", move |req: Request| {
        let s = s.clone();
        async move {
            let result = key::ticket(&s, &req).await;
            finish(&s, req, result).await
        }
    });
    let s = state.clone();
    router = router.any("/services/:service/*", move |mut req: Request| {
        let s = s.clone();
        async move {
            let result = call::service(&s, &mut req).await;
            finish(&s, req, result).await
        }
    });
    let s = state;
    router.any("/*", move |req: Request| {
        let s = s.clone();
        async move {
            let result = Err(unknown_route(&req));
            finish(&s, req, result).await
        }
    })
}

/// Converts an error to a response, after the body of its request has arrived. An error without a
/// request id is counted here; one that has an id reached the core, which has counted it. Every
/// response has a request id, even if the request did not reach a router, so that a caller can refer
/// to it when contacting the operators.
async fn finish(
    state: &Shared,
    mut req: Request,
    result: Result<Response, Error>,
) -> viz::Result<Response> {
    if result.is_err() {
        request_body::discard(&mut req, &state.limits).await;
    }
    let mut response = result.unwrap_or_else(|error| {
        if error.request_id.is_none() {
            state.metrics.record_rejection(error.code);
        }
        error.into_response()
    });
    if !response.headers().contains_key(REQUEST_ID) {
        insert_request_id(response.headers_mut(), state.new_id());
    }
    Ok(response)
}

/// Returns the error for a path or method that is not served.
fn unknown_route(req: &Request) -> Error {
    let path = req.uri().path();
    let known = match path {
        "/v1/chat/completions" | "/v1/completions" | "/v1/tickets" => Some("POST"),
        "/v1/models" | "/v1/addresses" => Some("GET"),
        _ => None,
    };
    match known {
        Some(method) => {
            let message = format!("{path} takes {method} only");
            let status = StatusCode::METHOD_NOT_ALLOWED;
            let mut error = Error::new(status, "method_not_allowed", message);
            error.allowed_method = Some(method);
            error
        }
        None => Error::new(
            StatusCode::NOT_FOUND,
            "unknown_path",
            "nothing is served here",
        ),
    }
}

/// Sets the request id of a response or error.
fn with_request_id(result: Result<Response, Error>, id: Id) -> Result<Response, Error> {
    let mut response = result.map_err(|error| error.with_request_id(id))?;
    insert_request_id(response.headers_mut(), id);
    Ok(response)
}

/// Returns the caller's address, if the listener provides it. `viz::Responder` stores it as an
/// `Option`, which `viz::RequestExt::remote_addr` does not find.
fn caller_addr(req: &Request) -> Option<SocketAddr> {
    *req.extensions().get::<Option<SocketAddr>>()?
}
