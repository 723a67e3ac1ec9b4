//! Watches the requests of one connection: whether the node or the caller is to move.

use crate::api::error::Error;
use bytes::Bytes;
use http::header::{CONNECTION, HeaderValue};
use http::{Method, StatusCode};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::service::Service;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll};
use tokio_util::sync::CancellationToken;
use viz::{IntoResponse, Request, Responder, Response};

/// Methods that routes can be made for.
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

/// What goes on in one connection.
#[derive(Default)]
pub(super) struct Activity {
    /// Requests whose next part the node has to make, so that the caller can only wait. One whose
    /// part is made and not yet taken is not among them: it waits for the caller, who may never
    /// read it.
    pending_on_node: AtomicUsize,
    /// Requests that came and parts of answers that were asked for.
    steps: AtomicUsize,
    /// The steps at the last look.
    last_steps: AtomicUsize,
    http2: AtomicBool,
}

impl Activity {
    /// Whether a request came.
    pub(super) fn has_requests(&self) -> bool {
        self.steps.load(Ordering::Relaxed) > 0
    }

    /// Whether it speaks HTTP/2, as far as its requests tell.
    pub(super) fn http2(&self) -> bool {
        self.http2.load(Ordering::Relaxed)
    }

    /// Whether the node is at work, or anything went on since the last look.
    pub(super) fn has_progressed(&self) -> bool {
        let steps = self.steps.load(Ordering::Relaxed);
        let last_steps = self.last_steps.swap(steps, Ordering::Relaxed);
        steps != last_steps || self.pending_on_node.load(Ordering::Relaxed) > 0
    }
}

/// Watches the requests of one connection, bodies of answers included.
pub(super) struct TrackedService {
    inner: Responder<SocketAddr>,
    activity: Arc<Activity>,
    drain: CancellationToken,
}

impl TrackedService {
    /// Requests of one connection, told to `busy`, go to `inner`.
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
            Ok(response.map(|body| track_body(body, request)))
        })
    }
}

/// The error for a request that no route can take: the routes know the usual methods only, and
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

/// Whose turn it is in one request: the node's while its next part is being made, the caller's once
/// it is there to be read.
struct RequestActivity {
    activity: Arc<Activity>,
    node_busy: bool,
}

impl RequestActivity {
    fn new(activity: Arc<Activity>) -> Self {
        Self {
            activity,
            node_busy: false,
        }
    }

    /// The next part is asked for.
    fn begin_step(&mut self) {
        self.activity.steps.fetch_add(1, Ordering::Relaxed);
        if !self.node_busy {
            self.node_busy = true;
            self.activity
                .pending_on_node
                .fetch_add(1, Ordering::Relaxed);
        }
    }

    /// The part is there.
    fn end_step(&mut self) {
        if self.node_busy {
            self.node_busy = false;
            self.activity
                .pending_on_node
                .fetch_sub(1, Ordering::Relaxed);
        }
    }
}

impl Drop for RequestActivity {
    fn drop(&mut self) {
        self.end_step();
    }
}

/// A body that tells whose turn it is.
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
        if frame.is_ready() {
            self.request.end_step();
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

/// The same body, watched until it has been sent or dropped.
fn track_body(body: viz::Body, request: RequestActivity) -> viz::Body {
    if body.is_end_stream() {
        return body;
    }
    viz::Body::wrap(TrackedBody { body, request })
}
