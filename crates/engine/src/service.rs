//! Calls of plain HTTP services over HTTP/1.1.
//!
//! This client writes a call at most once, to one connection, and doesn't retry it when that
//! connection fails. The router decides whether to retry.

mod body;
mod idle;

pub use body::Body;
use body::End;
pub(crate) use idle::IdleConnections;

use crate::pool::{Limits, Pool};
use bytes::Bytes;
use futures::FutureExt;
use http::header::{CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use http::{HeaderValue, Request, Response, Uri, Version};
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use response::connection::{self, Opened, Options};
use response::ending;
use response::head::Head;
use response::meter::{Allowance, Meter};
use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// Bounds of a connection. The buffer bounds the head of a response and a chunk of its body.
const OPTIONS: Options = Options {
    buffer_bytes: 64 << 10,
    receive_buffer_bytes: 64 << 10,
    user_timeout: None,
    allowance: Allowance {
        head: 128 << 10,
        body: 4 << 20,
    },
};

/// Cause of a failed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Cause {
    /// No connection could be established.
    Connect,
    /// The connection broke before the response was complete.
    Reset,
    /// The head of the response was not received in time.
    Silent,
    /// What was received is no response.
    Protocol,
    /// The request can't be sent over HTTP/1.1.
    Invalid,
}

/// A failed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Cause of the failure.
    pub cause: Cause,
    /// Whether a byte that could start the work may have been sent.
    pub sent: bool,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sent = if self.sent {
            "after the request was sent"
        } else {
            "before the request was sent"
        };
        write!(f, "service call failed ({:?}) {sent}", self.cause)
    }
}

impl std::error::Error for Failure {}

/// Result of a call.
pub type Result<T> = std::result::Result<T, Failure>;

/// Options of a call.
#[derive(Clone, Copy, Debug)]
pub struct CallOptions {
    /// Time limit for the head of the response.
    pub head_timeout: Duration,
    /// Whether to use a new connection even if an idle one exists. The service may have closed an
    /// idle connection without notice, and a call that is not repeatable would then fail with its
    /// outcome unknown.
    pub new_connection: bool,
}

/// An HTTP/1.1 connection to a service.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// Bounds the work for its responses.
    meter: Meter,
    task: AbortHandle,
    addr: SocketAddr,
}

/// Calls a service. `sent` is set just before the first byte of the call can be sent, so that the
/// caller knows whether the service may have run the call even if it drops this future.
pub async fn call(
    pool: &Pool,
    addr: SocketAddr,
    request: Request<Bytes>,
    options: CallOptions,
    sent: &AtomicBool,
) -> Result<Response<Body>> {
    let request = prepare(addr, request)?;
    let idle = if options.new_connection {
        None
    } else {
        pool.idle().take(addr)
    };
    let Some(idle) = idle else {
        let connection = connect(addr, pool.limits()).await?;
        return attempt(pool, connection, request, options, sent)
            .await
            .map_err(|error| error.failure);
    };
    let error = match attempt(pool, idle, request, options, sent).await {
        Ok(response) => return Ok(response),
        Err(error) => error,
    };
    // hyper returned the request because none of it was written, so sending it on a new connection
    // is not a retry.
    let Some(request) = error.request else {
        return Err(error.failure);
    };
    let connection = connect(addr, pool.limits()).await?;
    attempt(pool, connection, *request, options, sent)
        .await
        .map_err(|error| error.failure)
}

/// A failed attempt to make a call, with the request if none of it was written.
struct AttemptError {
    failure: Failure,
    request: Option<Box<Request<Full<Bytes>>>>,
}

/// Makes a call on `connection`.
async fn attempt(
    pool: &Pool,
    mut connection: Connection,
    request: Request<Full<Bytes>>,
    options: CallOptions,
    sent: &AtomicBool,
) -> std::result::Result<Response<Body>, AttemptError> {
    sent.store(true, Ordering::SeqCst);
    connection.meter.begin();
    let response = timeout(
        options.head_timeout,
        connection.sender.try_send_request(request),
    )
    .await;
    let cause = match response {
        Ok(Ok(response)) => {
            let accepted = accept(pool, connection, response);
            return accepted.map_err(|failure| AttemptError {
                failure,
                request: None,
            });
        }
        Ok(Err(mut error)) => {
            if let Some(request) = error.take_message() {
                sent.store(false, Ordering::SeqCst);
                let failure = Failure {
                    cause: Cause::Reset,
                    sent: false,
                };
                return Err(AttemptError {
                    failure,
                    request: Some(Box::new(request)),
                });
            }
            Cause::Reset
        }
        Err(_) => Cause::Silent,
    };
    connection.task.abort();
    Err(AttemptError {
        failure: Failure { cause, sent: true },
        request: None,
    })
}

/// Returns whether the service answers `GET /health` with success on a new connection.
pub(crate) async fn health(addr: SocketAddr, limits: &Limits) -> bool {
    let Ok(request) = Request::get("/health").body(Bytes::new()) else {
        return false;
    };
    let options = CallOptions {
        head_timeout: Duration::MAX,
        new_connection: true,
    };
    let response = call(
        &Pool::new(*limits),
        addr,
        request,
        options,
        &AtomicBool::new(false),
    )
    .await;
    response.is_ok_and(|response| response.status().is_success())
}

/// Converts a request to HTTP/1.1: the target is the path and query, `host` is present, and the
/// length of the body is known.
fn prepare(addr: SocketAddr, request: Request<Bytes>) -> Result<Request<Full<Bytes>>> {
    let failure = Failure {
        cause: Cause::Invalid,
        sent: false,
    };
    let (mut parts, body) = request.into_parts();
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    parts.uri = path.parse::<Uri>().map_err(|_| failure)?;
    parts.version = Version::HTTP_11;
    parts.headers.remove(TRANSFER_ENCODING);
    parts.headers.remove(CONTENT_LENGTH);
    if !parts.headers.contains_key(HOST) {
        let host = HeaderValue::from_str(&addr.to_string()).map_err(|_| failure)?;
        parts.headers.insert(HOST, host);
    }
    Ok(Request::from_parts(parts, Full::new(body)))
}

async fn connect(addr: SocketAddr, limits: &Limits) -> Result<Connection> {
    let failure = Failure {
        cause: Cause::Connect,
        sent: false,
    };
    let connected = timeout(limits.connect_timeout, connection::connect(addr, &OPTIONS)).await;
    let opened = connected.map_err(|_| failure)?;
    let Opened {
        sender,
        driver,
        meter,
    } = opened.map_err(|_| failure)?;
    let task = tokio::spawn(driver.map(|_| ())).abort_handle();
    Ok(Connection {
        sender,
        meter,
        task,
        addr,
    })
}

/// Returns a new connection to a service that keeps it open; `None` if it is ending.
async fn witness(addr: SocketAddr, limits: Limits) -> Option<Connection> {
    let connection = connect(addr, &limits).await.ok()?;
    let stays_open = ending::stays_open(&connection.sender).await;
    stays_open.then_some(connection)
}

/// Accepts what is a response. Anything else fails the call.
fn accept(
    pool: &Pool,
    connection: Connection,
    mut response: Response<hyper::body::Incoming>,
) -> Result<Response<Body>> {
    let head = Head::try_from(&response);
    // The version concerns a single connection.
    *response.version_mut() = Version::HTTP_11;
    let Ok(head) = head else {
        connection.task.abort();
        return Err(Failure {
            cause: Cause::Protocol,
            sent: true,
        });
    };
    connection.meter.begin_body();
    let end = match head.is_delimited() {
        true => End::Marked,
        // The status of a failure says all that a caller acts on.
        false => End::Close {
            has_begun: !response.status().is_success(),
        },
    };
    Ok(response.map(|incoming| Body::new(pool.clone(), connection, incoming, end)))
}
