//! Handlers of the callers' listener.

pub mod call;
pub mod complete;
pub mod discover;
pub mod forward;
pub mod key;

use crate::api::error::Error;
use crate::api::header::{REQUEST_ID, insert_request_id};
use crate::core::Tx;
use crate::limits::{Limits, RequestLimits};
use crate::metrics::Metrics;
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

/// Time to come back when no bundle is in force yet.
const STARTING_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What the handlers of one worker share.
pub struct Shared {
    /// The worker's core.
    pub tx: Tx,
    /// Where control publishes.
    pub shared_snapshot: SharedSnapshot,
    /// Connections of this worker.
    pub pool: Pool,
    /// Bounds of the listener.
    pub limits: Limits,
    /// Bounds of what a caller may ask for.
    pub request_limits: RequestLimits,
    /// Seconds for which callers may keep an address answer.
    pub address_ttl: u64,
    /// Counters.
    pub metrics: Metrics,
    /// Zero of the router's time.
    pub start: Instant,
    /// Draws request ids and the order of addresses; only this worker's thread takes the lock.
    pub rng: Mutex<StdRng>,
}

/// Shared state, as handlers hold it.
pub type State = Arc<Shared>;

impl Shared {
    /// The newest snapshot, or a refusal while no bundle is in force.
    pub fn snapshot(&self) -> Result<Arc<Snapshot>, Error> {
        self.shared_snapshot.load_full().ok_or_else(|| {
            let message = "no bundle is in force on this node yet";
            Error::new(StatusCode::SERVICE_UNAVAILABLE, "starting", message)
                .with_retry_after(STARTING_RETRY_AFTER)
        })
    }

    /// An id that no other request has, on any node: 128 random bits.
    pub fn new_id(&self) -> Id {
        use rand::RngExt;
        self.rng().random()
    }

    /// The generator. A panic of another handler can't leave it in a bad state.
    pub fn rng(&self) -> std::sync::MutexGuard<'_, StdRng> {
        self.rng.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// The router's time after `wait` from now, bounded by the longest deadline.
    pub fn deadline(&self, wait: Option<Duration>) -> route::Now {
        let wait = wait.unwrap_or(self.request_limits.default_deadline);
        self.start.elapsed() + wait.min(self.request_limits.max_deadline)
    }
}

/// The callers' routes.
pub fn routes(state: State) -> Router {
    let mut router = Router::new();
    let s = state.clone();
    router = router.post("/v1/chat/completions", move |req: Request| {
        let s = s.clone();
        async move { finish(&s, complete::chat(&s, req).await) }
    });
    let s = state.clone();
    router = router.post("/v1/completions", move |req: Request| {
        let s = s.clone();
        async move { finish(&s, complete::text(&s, req).await) }
    });
    let s = state.clone();
    router = router.get("/v1/models", move |req: Request| {
        let s = s.clone();
        async move { finish(&s, discover::models(&s, &req)) }
    });
    let s = state.clone();
    router = router.get("/v1/addresses", move |req: Request| {
        let s = s.clone();
        async move { finish(&s, discover::addresses(&s, &req)) }
    });
    let s = state.clone();
    router = router.post("/v1/tickets", move |req: Request| {
        let s = s.clone();
        async move { finish(&s, key::ticket(&s, &req).await) }
    });
    let s = state.clone();
    router = router.any("/services/:service/*", move |req: Request| {
        let s = s.clone();
        async move { finish(&s, call::service(&s, req).await) }
    });
    let s = state;
    router.any("/*", move |req: Request| {
        let s = s.clone();
        async move { finish(&s, Err(unknown_route(&req))) }
    })
}

/// Counts an error and turns either into an answer of the listener. Every answer has an id, also
/// the one to a request that never got as far as a router: a caller can name it to the operators.
fn finish(state: &Shared, result: Result<Response, Error>) -> viz::Result<Response> {
    let mut response = result.unwrap_or_else(|error| {
        state.metrics.record_rejection(error.code);
        error.into_response()
    });
    if !response.headers().contains_key(REQUEST_ID) {
        insert_request_id(response.headers_mut(), state.new_id());
    }
    Ok(response)
}

/// The error for a path or method that nothing serves.
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

/// The same answer or error, with the request's id.
fn with_request_id(result: Result<Response, Error>, id: Id) -> Result<Response, Error> {
    let mut response = result.map_err(|error| error.with_request_id(id))?;
    insert_request_id(response.headers_mut(), id);
    Ok(response)
}

/// The caller's address, if the listener knows it.
fn caller_addr(req: &Request) -> Option<SocketAddr> {
    viz::RequestExt::remote_addr(req).copied()
}
