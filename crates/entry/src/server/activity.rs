//! Tracks the requests of one connection: whether each waits for the node or for its caller.

use super::socket::Unsent;
use crate::api::error::Error;
use bytes::Bytes;
use http::header::{CONNECTION, HeaderValue};
use http::{Method, StatusCode};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::service::Service;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use viz::{IntoResponse, Request, Responder, Response};

/// Methods that the routes support.
const METHODS: [Method; 9] = [
    Method::GET,
    Method::POST,
    Method::PUT,
    Method::DELETE,
    Method::HEAD,
    Method::OPTIONS,
    Method::CONNECT,
    Method::PATCH,
    Method::TRACE,
];

/// Activity of one connection.
pub(super) struct Activity {
    /// Number of requests that wait for the node to produce the next part of the answer. A request
    /// whose part is ready but not yet read is not counted: it waits for its caller, who may never
    /// read it.
    pending_on_node: AtomicUsize,
    /// Number of requests received, plus number of polls for parts of answers.
    steps: AtomicUsize,
    /// Value of `steps` at the last call of `has_progressed`.
    last_steps: AtomicUsize,
    http2: AtomicBool,
    /// Times since which the connection has not asked for the next part of an answer, by request.
    waiting: Mutex<BTreeMap<usize, Instant>>,
    unsent: Arc<Unsent>,
}

impl Activity {
    pub(super) fn new(unsent: Arc<Unsent>) -> Self {
        Self {
            pending_on_node: AtomicUsize::new(0),
            steps: AtomicUsize::new(0),
            last_steps: AtomicUsize::new(0),
            http2: AtomicBool::new(false),
            waiting: Mutex::default(),
            unsent,
        }
    }

    /// Returns the time for which the caller has not read what it was sent, or an answer on one of its streams.
    pub(super) fn unread_for(&self) -> Duration {
        let oldest = self.waiting().values().min().copied();
        let waiting_for = oldest.map_or(Duration::ZERO, |since| since.elapsed());
        waiting_for.max(self.unsent.blocked_for())
    }

    fn waiting(&self) -> MutexGuard<'_, BTreeMap<usize, Instant>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether any request was received.
    pub(super) fn has_requests(&self) -> bool {
        self.steps.load(Ordering::Relaxed) > 0
    }

    /// Returns whether the connection uses HTTP/2; false until its first request.
    pub(super) fn http2(&self) -> bool {
        self.http2.load(Ordering::Relaxed)
    }

    /// Returns whether a request waits for the node, or there was a step since the last call.
    pub(super) fn has_progressed(&self) -> bool {
        let steps = self.steps.load(Ordering::Relaxed);
        let last_steps = self.last_steps.swap(steps, Ordering::Relaxed);
        steps != last_steps || self.pending_on_node.load(Ordering::Relaxed) > 0
    }
}

/// Wraps the service of one connection and tracks its requests, including the bodies of answers.
pub(super) struct TrackedService {
    inner: Responder<SocketAddr>,
    activity: Arc<Activity>,
    drain: CancellationToken,
}

impl TrackedService {
    /// Creates a service that passes requests to `inner` and records them in `activity`.
    pub(super) fn new(
        inner: Responder<SocketAddr>,
        activity: Arc<Activity>,
        drain: CancellationToken,
    ) -> Self {
        Self {
            inner,
            activity,
            drain,
        }
    }
}

impl Service<Request<Incoming>> for TrackedService {
    type Response = Response;
    type Error = Infallible;
    type Future = futures::future::BoxFuture<'static, Result<Response, Infallible>>;

    fn call(&self, req: Request<Incoming>) -> Self::Future {
        let mut request = RequestActivity::new(self.activity.clone());
        request.begin_step();
        let http2 = req.version() == http::Version::HTTP_2;
        self.activity.http2.store(http2, Ordering::Relaxed);
        let is_earlier = req.version() < http::Version::HTTP_11;
        if let Some(error) = unroutable(&req) {
            return Box::pin(async move { Ok(error.into_response()) });
        }
        let drain = self.drain.clone();
        let answer = self.inner.call(req);
        Box::pin(async move {
            let mut response = answer.await?;
            if drain.is_cancelled() && !http2 {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            // HTTP/1.0 has no chunks.
            if is_earlier && response.body().size_hint().exact().is_none() {
                request.activity.unsent.set_ends_answer(true);
            }
            Ok(response.map(|body| track_body(body, request)))
        })
    }
}

/// Returns the error for a request that the routes can't match: they support only `METHODS`, and
/// paths that begin with a slash.
fn unroutable(req: &Request<Incoming>) -> Option<Error> {
    let error = if !METHODS.contains(req.method()) {
        let message = "no path takes this method";
        Error::new(StatusCode::NOT_IMPLEMENTED, "unknown_method", message)
    } else if !req.uri().path().starts_with('/') {
        Error::new(
            StatusCode::NOT_FOUND,
            "unknown_path",
            "the path has no slash",
        )
    } else {
        return None;
    };
    Some(error.with_request_id(rand::random()))
}

/// Activity of one request. `node_busy` is true while the node produces the next part of the
/// answer, and false while the part waits to be read by the caller.
struct RequestActivity {
    activity: Arc<Activity>,
    /// Number of the request on its connection.
    number: usize,
    node_busy: bool,
}

impl RequestActivity {
    fn new(activity: Arc<Activity>) -> Self {
        Self {
            number: activity.steps.load(Ordering::Relaxed),
            activity,
            node_busy: false,
        }
    }

    /// Records that the next part is requested.
    fn begin_step(&mut self) {
        self.activity.steps.fetch_add(1, Ordering::Relaxed);
        if !self.node_busy {
            self.node_busy = true;
            self.activity.waiting().remove(&self.number);
            self.activity
                .pending_on_node
                .fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Records that the part is ready.
    fn end_step(&mut self) {
        if self.node_busy {
            self.node_busy = false;
            self.activity.waiting().insert(self.number, Instant::now());
            self.activity
                .pending_on_node
                .fetch_sub(1, Ordering::Relaxed);
        }
    }
}

impl Drop for RequestActivity {
    fn drop(&mut self) {
        self.end_step();
        self.activity.waiting().remove(&self.number);
    }
}

/// A body that records the activity of its request.
struct TrackedBody {
    body: viz::Body,
    request: RequestActivity,
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = viz::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, viz::Error>>> {
        self.request.begin_step();
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        if let Poll::Ready(frame) = &frame {
            self.request.end_step();
            if let Some(Ok(frame)) = frame {
                let bytes = frame.data_ref().map_or(0, Bytes::len);
                self.request.activity.unsent.add(bytes);
            }
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Wraps a body so that its activity is recorded until it is sent or dropped.
fn track_body(body: viz::Body, request: RequestActivity) -> viz::Body {
    if body.is_end_stream() {
        return body;
    }
    viz::Body::wrap(TrackedBody { body, request })
}
