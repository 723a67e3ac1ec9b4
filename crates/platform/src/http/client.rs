//! HTTP client with limits, shared by the clients of all three services.

use crate::error::{Cause, Error, Result};
use crate::http::connector::Connector;
use crate::limits::Limits;
use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use http_body_util::Full;
use hyper::body::Body;
use hyper_util::client::legacy;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use memory::budget::Budget;
use response::body;
use response::head::Head;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::time::timeout;

/// Idle timeout of a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum number of idle connections.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// Number of the largest responses that a client without a shared budget receives at once.
const MAX_CONCURRENT_RESPONSES: usize = 2;

type Inner = legacy::Client<Connector, Full<Bytes>>;

/// HTTP client of one service at one address.
#[derive(Debug)]
pub struct Client {
    addr: SocketAddr,
    limits: Limits,
    /// The memory of the responses that are being received.
    budget: Budget,
    inner: Mutex<Inner>,
}

impl Client {
    /// Creates a client of the service at `addr`.
    pub fn new(addr: SocketAddr, limits: Limits) -> Self {
        let bytes = limits
            .max_response_bytes
            .saturating_mul(MAX_CONCURRENT_RESPONSES);
        Self::sharing(addr, limits, Budget::new(bytes, 0))
    }

    /// Creates a client of the service at `addr`, whose responses take their memory from a budget that it shares
    /// with other clients.
    pub fn sharing(addr: SocketAddr, limits: Limits, budget: Budget) -> Self {
        Self {
            addr,
            limits,
            budget,
            inner: Mutex::new(build(addr, &limits)),
        }
    }

    /// Sends a request and returns the body of a successful response.
    ///
    /// `wait` is how long the service may delay the response in long polling. It is added to the
    /// time limit of the call.
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

    /// Like [`Client::call`], with additional request headers.
    pub async fn call_with(
        &self,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
        wait: Duration,
    ) -> Result<Bytes> {
        let response = self.send(method, path, headers, body, wait).await?;
        check_status(&response)?;
        Ok(response.into_body())
    }

    /// Like [`Client::call_with`], but returns the response whatever its status.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
        wait: Duration,
    ) -> Result<Response<Bytes>> {
        if body.len() > self.limits.max_request_bytes {
            return Err(Error::unsent(Cause::TooLarge(
                self.limits.max_request_bytes,
            )));
        }
        let mut request = self.build_request(method, path, body)?;
        request.headers_mut().extend(headers);
        let inner = self.client();
        let limit = self.limits.call_timeout.saturating_add(wait);
        match timeout(
            limit,
            exchange(inner, request, self.limits.max_response_bytes, &self.budget),
        )
        .await
        {
            Ok(result) => result,
            Err(_) => {
                self.replace_pool();
                Err(Error::sent(Cause::Timeout))
            }
        }
    }

    fn build_request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>> {
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

    /// Returns the current connection pool.
    fn client(&self) -> Inner {
        self.inner
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Replaces the connection pool after a timeout. An unresponsive connection reports no error,
    /// and the other pooled connections to the same address may be unresponsive too, so later calls
    /// use new connections.
    fn replace_pool(&self) {
        let new = build(self.addr, &self.limits);
        *self.inner.lock().unwrap_or_else(PoisonError::into_inner) = new;
    }
}

fn build(addr: SocketAddr, limits: &Limits) -> Inner {
    let connector = Connector::new(addr, limits);
    legacy::Client::builder(TokioExecutor::new())
        .http1_max_buf_size(super::OPTIONS.buffer_bytes)
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
        .build(connector)
}

/// Sends a request and reads the response, whose body has at most `max_bytes` bytes.
async fn exchange(
    inner: Inner,
    request: Request<Full<Bytes>>,
    max_bytes: usize,
    budget: &Budget,
) -> Result<Response<Bytes>> {
    let response = inner.request(request).await.map_err(transport_error)?;
    check_head(&response)?;
    let (head, body) = response.into_parts();
    match body::collect(body, max_bytes, budget).await {
        Ok(body) => Ok(Response::from_parts(head, body)),
        // For a refused call the status suffices, so an unreadable body is replaced by an empty
        // one.
        Err(_) if !head.status.is_success() => Ok(Response::from_parts(head, Bytes::new())),
        Err(body::Error::TooLarge(limit)) => Err(Error::sent(Cause::TooLarge(limit))),
        Err(body::Error::Broken) => Err(Error::sent(Cause::Broken)),
    }
}

/// Checks that what was received is a response, and that a success is marked at its end: it would look
/// complete otherwise if it was cut off.
pub(super) fn check_head<B: Body>(response: &Response<B>) -> Result<()> {
    let head = Head::try_from(response);
    let head = head.map_err(|invalid| Error::sent(Cause::Decode(invalid.to_string())))?;
    match head.is_delimited() || !response.status().is_success() {
        true => Ok(()),
        false => Err(Error::sent(Cause::Broken)),
    }
}

fn transport_error(error: legacy::Error) -> Error {
    match error.is_connect() {
        true => Error::unsent(Cause::Connect),
        false => Error::sent(Cause::Broken),
    }
}

/// Returns an error unless a response is a success.
pub fn check_status<B>(response: &Response<B>) -> Result<()> {
    match response.status().is_success() {
        true => Ok(()),
        false => Err(Error::sent(cause_of_status(response))),
    }
}

/// Returns the cause for a response that is not a success.
fn cause_of_status<B>(response: &Response<B>) -> Cause {
    if response.status() != StatusCode::TOO_MANY_REQUESTS {
        return Cause::Status(response.status().as_u16());
    }
    let retry_after = response.headers().get(http::header::RETRY_AFTER);
    let seconds = retry_after
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.trim().parse().ok());
    Cause::RateLimited(seconds.map(Duration::from_secs))
}
