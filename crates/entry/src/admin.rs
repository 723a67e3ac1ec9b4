//! The admin listener: readiness, metrics, dumps and the administration API.
//!
//! The only write operation publishes a signed bundle version. Nothing else about an instance can
//! be changed through this API.

use crate::api::error::Error;
use crate::core::{Command, Tx};
use crate::limits::Limits;
use crate::request_body;
use crate::response::{json, with_content_type};
use bundle::answer::{Answer, OutcomeKind};
use bytes::Bytes;
use http::StatusCode;
use prometheus::{Encoder, Registry, TextEncoder};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;
use viz::{IntoResponse, Request, Response, Router};

/// Maximum number of requests that wait for the control thread; further ones fail at once.
pub const MAX_PENDING_REQUESTS: usize = 64;
/// Timeout of an answer of the control thread or of a worker.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of the publication of a bundle version.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(30);

/// A request of the admin listener to the control thread, with the sender of its answer.
#[derive(Debug)]
pub enum ControlRequest {
    /// Returns the state of this node.
    Status(oneshot::Sender<Status>),
    /// Returns the bundle versions that have been in force.
    History(oneshot::Sender<Vec<Version>>),
    /// Returns the nodes of the fleet and the bundle version in force on each.
    Fleet(oneshot::Sender<Vec<Node>>),
    /// Returns the bundle in force as a complete signed record, from which the next version is
    /// made.
    Head(oneshot::Sender<Option<Vec<u8>>>),
    /// Appends a signed bundle version to the log.
    Publish(Bytes, oneshot::Sender<Answer>),
    /// Returns the state of the control thread as text, by component.
    Dump(oneshot::Sender<Vec<Part>>),
}

/// State of a node.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the node.
    pub node: String,
    /// Availability zone.
    pub zone: String,
    /// Start time of this run in milliseconds of Unix time, which identifies the run.
    pub incarnation: u64,
    /// Whether the node serves callers.
    pub ready: bool,
    /// Whether the node is leaving.
    pub leaving: bool,
    /// Number of the bundle in force; 0 before the first.
    pub number: u64,
    /// Digest of the bundle in force.
    pub digest: String,
    /// Signer of the bundle in force.
    pub signer: String,
    /// Milliseconds since the log was last read to its end; `None` if it never was.
    pub log_age_ms: Option<u64>,
    /// Error of the last read of the log, if it failed.
    pub log_error: Option<String>,
}

/// A bundle version that has been in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Version {
    /// Number of the version.
    pub number: u64,
    /// Digest of the bundle that results from the version.
    pub digest: String,
    /// Signer of the version.
    pub signer: String,
    /// Offset of its record in the log; `None` if it came from a checkpoint or a peer.
    pub offset: Option<u64>,
}

/// A node of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Node {
    /// Name of the node.
    pub node: String,
    /// Availability zone.
    pub zone: String,
    /// State of the node in the view of the node that answers.
    pub state: String,
    /// Number of the bundle in force there, as last reported.
    pub number: u64,
    /// Digest of the bundle in force there, as last reported.
    pub digest: String,
}

/// The dump of one component.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Name of the component.
    pub part: String,
    /// State of the component.
    pub text: String,
}

/// State shared by the admin handlers.
pub struct Shared {
    /// Sends requests to the control thread.
    pub control: mpsc::Sender<ControlRequest>,
    /// Sends commands to the workers' cores.
    pub workers: Vec<Tx>,
    /// Source of the metrics page.
    pub registry: Registry,
    /// Limits of the admin listener.
    pub limits: Limits,
}

type State = Arc<Shared>;
type Result<T> = std::result::Result<T, Error>;

/// Returns the routes of the admin listener.
pub fn routes(state: State) -> Router {
    let mut router = Router::new().get("/healthz", |_: Request| async { Ok("ok\n") });
    let s = state.clone();
    router = router.get("/readyz", move |_: Request| {
        let s = s.clone();
        async move { into_answer(ready(&s).await) }
    });
    let s = state.clone();
    router = router.get("/metrics", move |_: Request| {
        let s = s.clone();
        async move { into_answer(metrics(&s)) }
    });
    let s = state.clone();
    router = router.get("/dump", move |req: Request| {
        let s = s.clone();
        async move { into_answer(dump(&s, &req).await) }
    });
    let s = state.clone();
    router = router.get("/admin/v1/status", move |_: Request| {
        let s = s.clone();
        async move {
            into_answer(
                query_control(&s, CONTROL_TIMEOUT, ControlRequest::Status)
                    .await
                    .map(|v| json(&v)),
            )
        }
    });
    let s = state.clone();
    router = router.get("/admin/v1/history", move |_: Request| {
        let s = s.clone();
        async move {
            into_answer(
                query_control(&s, CONTROL_TIMEOUT, ControlRequest::History)
                    .await
                    .map(|v| json(&v)),
            )
        }
    });
    let s = state.clone();
    router = router.get("/admin/v1/fleet", move |_: Request| {
        let s = s.clone();
        async move {
            into_answer(
                query_control(&s, CONTROL_TIMEOUT, ControlRequest::Fleet)
                    .await
                    .map(|v| json(&v)),
            )
        }
    });
    let s = state.clone();
    router = router.get("/admin/v1/head", move |_: Request| {
        let s = s.clone();
        async move { into_answer(head(&s).await) }
    });
    let s = state;
    router = router.post("/admin/v1/bundles", move |req: Request| {
        let s = s.clone();
        async move { into_answer(publish(&s, req).await) }
    });
    router.any("/*", |_: Request| async {
        let error = Error::new(
            StatusCode::NOT_FOUND,
            "unknown_path",
            "nothing is served here",
        );
        Ok(error.into_response())
    })
}

fn into_answer(result: Result<Response>) -> viz::Result<Response> {
    Ok(result.unwrap_or_else(IntoResponse::into_response))
}

/// Sends a request to the control thread and waits up to `limit` for its answer. Fails at once if
/// too many requests are waiting.
async fn query_control<T>(
    state: &Shared,
    limit: Duration,
    request: impl FnOnce(oneshot::Sender<T>) -> ControlRequest,
) -> Result<T> {
    let busy = || {
        let message = "control does not answer in time";
        Error::new(StatusCode::SERVICE_UNAVAILABLE, "control_busy", message)
    };
    let (tx, rx) = oneshot::channel();
    state.control.try_send(request(tx)).map_err(|_| busy())?;
    let answer = timeout(limit, rx).await;
    answer.ok().and_then(|a| a.ok()).ok_or_else(busy)
}

async fn ready(state: &Shared) -> Result<Response> {
    let status = query_control(state, CONTROL_TIMEOUT, ControlRequest::Status).await?;
    let mut response = json(&status);
    if !status.ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    Ok(response)
}

async fn head(state: &Shared) -> Result<Response> {
    let head = query_control(state, CONTROL_TIMEOUT, ControlRequest::Head).await?;
    let head = head.ok_or_else(|| {
        let message = "no bundle is in force on this node yet";
        Error::new(StatusCode::NOT_FOUND, "no_bundle", message)
    })?;
    Ok(with_content_type(head, "application/json"))
}

fn metrics(state: &Shared) -> Result<Response> {
    let encoder = TextEncoder::new();
    let mut text = Vec::new();
    let encoded = encoder.encode(&state.registry.gather(), &mut text);
    encoded.map_err(|e| Error::new(StatusCode::INTERNAL_SERVER_ERROR, "metrics", e.to_string()))?;
    Ok(with_content_type(text, "text/plain; version=0.0.4"))
}

async fn dump(state: &Shared, req: &Request) -> Result<Response> {
    let mut parts = query_control(state, CONTROL_TIMEOUT, ControlRequest::Dump).await?;
    for (number, tx) in state.workers.iter().enumerate() {
        parts.push(worker_dump(number, tx).await);
    }
    let query = viz::RequestExt::query_string(req).unwrap_or("");
    if query.split('&').any(|p| p == "format=json") {
        return Ok(json(&parts));
    }
    let sections = parts
        .iter()
        .map(|p| format!("== {} ==\n{}\n", p.part, p.text));
    let text: String = sections.collect();
    Ok(with_content_type(text, "text/plain; charset=utf-8"))
}

async fn worker_dump(number: usize, worker: &Tx) -> Part {
    let (tx, rx) = oneshot::channel();
    let _ = worker.send(Command::Dump(tx));
    let answer = timeout(CONTROL_TIMEOUT, rx).await;
    let text = answer.ok().and_then(|a| a.ok());
    Part {
        part: format!("worker {number}"),
        text: text.unwrap_or_else(|| "no answer in time\n".to_owned()),
    }
}

async fn publish(state: &Shared, mut req: Request) -> Result<Response> {
    let body = request_body::read(&mut req, &state.limits).await?;
    let answer = query_control(state, PUBLISH_TIMEOUT, |tx| {
        ControlRequest::Publish(body, tx)
    })
    .await?;
    let mut response = json(&answer);
    *response.status_mut() = match answer.outcome {
        OutcomeKind::Accepted => StatusCode::OK,
        OutcomeKind::Lost => StatusCode::CONFLICT,
        OutcomeKind::Refused => StatusCode::UNPROCESSABLE_ENTITY,
        OutcomeKind::Failed => StatusCode::SERVICE_UNAVAILABLE,
        OutcomeKind::Unsure => StatusCode::GATEWAY_TIMEOUT,
    };
    Ok(response)
}
