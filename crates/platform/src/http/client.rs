//! One HTTP client with the bounds that all three services share.

use crate::error::{Cause, Error, Result};
use crate::limits::Limits;
use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper_util::client::legacy::{self, connect::HttpConnector};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::time::timeout;

/// How long an idle connection is kept.
const IDLE: Duration = Duration::from_secs(20);
/// Idle connections kept.
const MAX_IDLE: usize = 8;

type Inner = legacy::Client<HttpConnector, Full<Bytes>>;

/// A client of one service at one address.
#[derive(Debug)]
pub struct Client {
    addr: SocketAddr,
    limits: Limits,
    inner: Mutex<Inner>,
}

impl Client {
    /// A client of the service at `addr`.
    pub fn new(addr: SocketAddr, limits: Limits) -> Self {
        Self {
            addr,
            limits,
            inner: Mutex::new(build(&limits)),
        }
    }

    /// Calls `path` and gives the body of a successful answer.
    ///
    /// `wait` is how long the service may hold the answer back, on top of the call's time limit.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        wait: Duration,
    ) -> Result<Bytes> {
        self.call_with(method, path, HeaderMap::new(), body, wait)
            .await
    }

    /// The same with headers of the caller's.
    pub async fn call_with(
        &self,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
        wait: Duration,
    ) -> Result<Bytes> {
        let answer = self.ask(method, path, headers, body, wait).await?;
        match answer.status().is_success() {
            true => Ok(answer.into_body()),
            false => Err(Error::sent(refusal(&answer))),
        }
    }

    /// The same, with the whole answer whatever its status.
    pub async fn ask(
        &self,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
        wait: Duration,
    ) -> Result<Response<Bytes>> {
        if body.len() > self.limits.send {
            return Err(Error::unsent(Cause::Large(self.limits.send)));
        }
        let mut request = self.request(method, path, body)?;
        request.headers_mut().extend(headers);
        let inner = self.current();
        let limit = self.limits.call.saturating_add(wait);
        match timeout(limit, exchange(inner, request, self.limits.take)).await {
            Ok(result) => result,
            Err(_) => {
                self.renew();
                Err(Error::sent(Cause::Timeout))
            }
        }
    }

    fn request(&self, method: Method, path: &str, body: Bytes) -> Result<Request<Full<Bytes>>> {
        let invalid = |e: http::Error| Error::unsent(Cause::Invalid(e.to_string()));
        let uri = Uri::builder()
            .scheme("http")
            .authority(self.addr.to_string())
            .path_and_query(path)
            .build()
            .map_err(invalid)?;
        Request::builder()
            .method(method)
            .uri(uri)
            .body(Full::new(body))
            .map_err(invalid)
    }

    fn current(&self) -> Inner {
        self.inner
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Leaves all pooled connections behind: one that went silent tells nothing by itself, and
    /// its neighbours in the pool went the same way; only new connections are known to work.
    fn renew(&self) {
        *self.inner.lock().unwrap_or_else(PoisonError::into_inner) = build(&self.limits);
    }
}

fn build(limits: &Limits) -> Inner {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(limits.connect));
    connector.set_nodelay(true);
    legacy::Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE)
        .pool_max_idle_per_host(MAX_IDLE)
        .build(connector)
}

async fn exchange(
    inner: Inner,
    request: Request<Full<Bytes>>,
    most: usize,
) -> Result<Response<Bytes>> {
    let response = inner.request(request).await.map_err(failed)?;
    let (head, body) = response.into_parts();
    match Limited::new(body, most).collect().await {
        Ok(body) => Ok(Response::from_parts(head, body.to_bytes())),
        // The status alone tells what became of a call that was refused.
        Err(_) if !head.status.is_success() => Ok(Response::from_parts(head, Bytes::new())),
        Err(e) if e.is::<LengthLimitError>() => Err(Error::sent(Cause::Large(most))),
        Err(_) => Err(Error::sent(Cause::Broken)),
    }
}

fn failed(error: legacy::Error) -> Error {
    match error.is_connect() {
        true => Error::unsent(Cause::Connect),
        false => Error::sent(Cause::Broken),
    }
}

fn refusal<B>(response: &Response<B>) -> Cause {
    if response.status() != StatusCode::TOO_MANY_REQUESTS {
        return Cause::Status(response.status().as_u16());
    }
    let after = response.headers().get(http::header::RETRY_AFTER);
    let seconds = after
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.trim().parse().ok());
    Cause::Limited(seconds.map(Duration::from_secs))
}
