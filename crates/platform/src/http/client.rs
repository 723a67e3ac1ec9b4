//! HTTP client with limits, shared by the clients of all three services.

use crate::error::{Cause, Error, Result};
use crate::limits::Limits;
use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Body;
use hyper_util::client::legacy::{self, connect::HttpConnector};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use response::head::Head;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::time::timeout;

/// Idle timeout of a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum number of idle connections.
const MAX_IDLE_CONNECTIONS: usize = 8;

type Inner = legacy::Client<HttpConnector, Full<Bytes>>;

/// HTTP client of one service at one address.
#[derive(Debug)]
pub struct Client {
    addr: SocketAddr,
    limits: Limits,
    inner: Mutex<Inner>,
}

impl Client {
    /// Creates a client of the service at `addr`.
    pub fn new(addr: SocketAddr, limits: Limits) -> Self {
        Self {
            addr,
            limits,
            inner: Mutex::new(build(&limits)),
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
            exchange(inner, request, self.limits.max_response_bytes),
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
        *self.inner.lock().unwrap_or_else(PoisonError::into_inner) = build(&self.limits);
    }
}

fn build(limits: &Limits) -> Inner {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(limits.connect_timeout));
    connector.set_nodelay(true);
    legacy::Client::builder(TokioExecutor::new())
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
) -> Result<Response<Bytes>> {
    let response = inner.request(request).await.map_err(transport_error)?;
    check_head(&response)?;
    let (head, body) = response.into_parts();
    match Limited::new(body, max_bytes).collect().await {
        Ok(body) => Ok(Response::from_parts(head, body.to_bytes())),
        // For a refused call the status suffices, so an unreadable body is replaced by an empty
        // one.
        Err(_) if !head.status.is_success() => Ok(Response::from_parts(head, Bytes::new())),
        Err(e) if e.is::<LengthLimitError>() => Err(Error::sent(Cause::TooLarge(max_bytes))),
        Err(_) => Err(Error::sent(Cause::Broken)),
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
