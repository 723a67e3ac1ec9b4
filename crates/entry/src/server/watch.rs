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
pub(super) struct Busy {
    /// Requests whose next part the node has to make, so that the caller can only wait. One whose
    /// part is made and not yet taken is not among them: it waits for the caller, who may never
    /// read it.
    making: AtomicUsize,
    /// Requests that came and parts of answers that were asked for.
    steps: AtomicUsize,
    /// The steps at the last look.
    seen: AtomicUsize,
    http2: AtomicBool,
}

impl Busy {
    /// Whether a request came.
    pub(super) fn begun(&self) -> bool {
        self.steps.load(Ordering::Relaxed) > 0
    }

    /// Whether it speaks HTTP/2, as far as its requests tell.
    pub(super) fn http2(&self) -> bool {
        self.http2.load(Ordering::Relaxed)
    }

    /// Whether the node is at work, or anything went on since the last look.
    pub(super) fn moved(&self) -> bool {
        let steps = self.steps.load(Ordering::Relaxed);
        let seen = self.seen.swap(steps, Ordering::Relaxed);
        steps != seen || self.making.load(Ordering::Relaxed) > 0
    }
}

/// Watches the requests of one connection, bodies of answers included.
pub(super) struct Watched {
    inner: Responder<SocketAddr>,
    busy: Arc<Busy>,
    drain: CancellationToken,
}

impl Watched {
    /// Requests of one connection, told to `busy`, go to `inner`.
    pub(super) fn new(
        inner: Responder<SocketAddr>,
        busy: Arc<Busy>,
        drain: CancellationToken,
    ) -> Self {
        Self { inner, busy, drain }
    }
}

impl Service<Request<Incoming>> for Watched {
    type Response = Response;
    type Error = Infallible;
    type Future = futures::future::BoxFuture<'static, Result<Response, Infallible>>;

    fn call(&self, req: Request<Incoming>) -> Self::Future {
        let mut turn = Turn::new(self.busy.clone());
        turn.take();
        let http2 = req.version() == http::Version::HTTP_2;
        self.busy.http2.store(http2, Ordering::Relaxed);
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
            Ok(response.map(|body| watched(body, turn)))
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
struct Turn {
    busy: Arc<Busy>,
    node: bool,
}

impl Turn {
    fn new(busy: Arc<Busy>) -> Self {
        Self { busy, node: false }
    }

    /// The next part is asked for.
    fn take(&mut self) {
        self.busy.steps.fetch_add(1, Ordering::Relaxed);
        if !self.node {
            self.node = true;
            self.busy.making.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// The part is there.
    fn pass(&mut self) {
        if self.node {
            self.node = false;
            self.busy.making.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        self.pass();
    }
}

/// A body that tells whose turn it is.
struct Parts {
    body: viz::Body,
    turn: Turn,
}

impl Body for Parts {
    type Data = Bytes;
    type Error = viz::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, viz::Error>>> {
        self.turn.take();
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        if frame.is_ready() {
            self.turn.pass();
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
fn watched(body: viz::Body, turn: Turn) -> viz::Body {
    if body.is_end_stream() {
        return body;
    }
    viz::Body::wrap(Parts { body, turn })
}
