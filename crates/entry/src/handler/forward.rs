//! Forwards a request to the node that owns its idempotency key, in one hop.
//!
//! A caller may retry a request on any node, but only the node that ran it has the answer. A
//! request is forwarded only once: the node that receives a forwarded request answers it itself,
//! so that two nodes with different views can't forward it in a loop.

use super::hop::Covered;
use super::{Shared, caller_addr};
use crate::api::error::Result;
use crate::api::header::{FORWARDED_FOR, HOP, REQUEST_HEADERS};
use crate::hop_by_hop;
use bytes::Bytes;
use engine::service::{CallOptions, call};
use http::header::{CONTENT_LENGTH, HeaderValue};
use http::{HeaderMap, Method, Uri};
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::AtomicBool;
use std::time::Duration;
use viz::{Body, Request, Response};

/// The parts of a request that are needed to forward it, except its body.
pub struct Original {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    from: Option<IpAddr>,
}

impl Original {
    /// Copies the parts of `req`, without the headers that apply to its connection only.
    pub fn of(req: &Request) -> Self {
        let mut headers = req.headers().clone();
        hop_by_hop::remove(&mut headers);
        headers.remove(CONTENT_LENGTH);
        // The owner handles the request as this node would. If `Connection` named the key or the
        // mark that the request is not repeatable, the owner would run it once more without them.
        for name in REQUEST_HEADERS {
            if let Some(value) = req.headers().get(&name) {
                headers.insert(name, value.clone());
            }
        }
        Self {
            method: req.method().clone(),
            uri: req.uri().clone(),
            headers,
            from: caller_addr(req).map(|addr| addr.ip()),
        }
    }

    /// Forwards the request if `result` is an error that names the owner of its key, and returns
    /// the owner's answer. Otherwise, or if the owner can't be reached, returns `result`.
    pub async fn or_forward(
        self,
        state: &Shared,
        result: Result<Response>,
        body: Bytes,
        time_left: Duration,
    ) -> Result<Response> {
        let error = match result {
            Err(error) if error.owner_url.is_some() && !self.is_forwarded(state, &body) => error,
            other => return other,
        };
        let Some(addr) = error.owner_url.as_deref().and_then(plain_http_addr) else {
            return Err(error);
        };
        match self.forward(state, addr, body, time_left).await {
            Some(response) => Ok(response),
            None => Err(error),
        }
    }

    fn covered<'a>(&'a self, body: &'a Bytes) -> Covered<'a> {
        Covered {
            method: &self.method,
            uri: &self.uri,
            headers: &self.headers,
            body,
        }
    }

    /// Returns whether another node has forwarded this request.
    fn is_forwarded(&self, state: &Shared, body: &Bytes) -> bool {
        let mut marks = self.headers.get_all(HOP).iter();
        marks.any(|mark| self.covered(body).is_forwarded(state, mark, self.from))
    }

    /// Returns the caller's address as text. A node that has forwarded the request states it; a
    /// caller's own statement is ignored.
    pub fn caller(&self, state: &Shared, body: &Bytes) -> Option<HeaderValue> {
        let mut marks = self.headers.get_all(HOP).iter();
        let covered = self.covered(body);
        if marks.any(|mark| covered.is_signed(&state.peer_key, mark)) {
            return self.headers.get(FORWARDED_FOR).cloned();
        }
        let addr = self.from?.to_string();
        HeaderValue::from_str(&addr).ok()
    }

    async fn forward(
        mut self,
        state: &Shared,
        addr: SocketAddr,
        body: Bytes,
        time_left: Duration,
    ) -> Option<Response> {
        let mark = self.covered(&body).sign(&state.peer_key)?;
        self.headers.remove(FORWARDED_FOR);
        if let Some(caller) = self.caller(state, &body) {
            self.headers.insert(FORWARDED_FOR, caller);
        }
        self.headers.insert(HOP, mark);
        let mut request = http::Request::new(body);
        *request.method_mut() = self.method;
        *request.uri_mut() = self.uri;
        *request.headers_mut() = self.headers;
        let options = CallOptions {
            head_timeout: time_left,
            new_connection: false,
        };
        let sent = AtomicBool::new(false);
        let response = call(&state.pool, addr, request, options, &sent)
            .await
            .ok()?;
        state.metrics.forwarded.add(1, &[]);
        let (mut parts, body) = response.into_parts();
        hop_by_hop::remove(&mut parts.headers);
        Some(Response::from_parts(parts, Body::wrap(body)))
    }
}

/// Returns the address of a node that serves HTTP without TLS. A request for a node that uses TLS
/// is not forwarded, because this node can't verify its certificate; the caller gets its URL.
fn plain_http_addr(url: &str) -> Option<SocketAddr> {
    url.strip_prefix("http://")?.parse().ok()
}
