//! Calls of plain services, over HTTP/1.1.
//!
//! A call is written once, to one connection, and never again by this client, whatever happens to
//! that connection: whether to call again is the router's decision.

mod body;
mod idle;

pub use body::Body;
pub(crate) use idle::IdleConnections;

use crate::pool::{Limits, Pool};
use bytes::Bytes;
use futures::FutureExt;
use http::header::{CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use http::{HeaderValue, Request, Response, Uri, Version};
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// What went wrong with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Cause {
    /// No connection could be made.
    Connect,
    /// The connection broke before the answer was whole.
    Reset,
    /// The answer's head did not come in time.
    Silent,
    /// The request or the answer can't be framed, so that a cut answer would look like a whole one.
    Protocol,
}

/// A failed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// What went wrong.
    pub cause: Cause,
    /// Whether a byte that could start the work left.
    pub sent: bool,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sent = if self.sent {
            "after it was sent"
        } else {
            "before it was sent"
        };
        write!(f, "service call failed ({:?}) {sent}", self.cause)
    }
}

impl std::error::Error for Failure {}

/// Result of a call.
pub type Result<T> = std::result::Result<T, Failure>;

/// How to make a call.
#[derive(Clone, Copy, Debug)]
pub struct CallOptions {
    /// Longest wait for the head of the answer.
    pub head_timeout: Duration,
    /// Whether to use a fresh connection even if one is kept. A kept one may be gone without a
    /// sign; a call that may not be repeated would then be lost with its outcome unknown.
    pub new_connection: bool,
}

/// A connection ready for a call.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    addr: SocketAddr,
}

/// Calls a service. `sent` is set just before the first byte of the call can leave, so that its
/// owner can tell the outcome also when it drops this future.
pub async fn call(
    pool: &Pool,
    addr: SocketAddr,
    request: Request<Bytes>,
    options: CallOptions,
    sent: &AtomicBool,
) -> Result<Response<Body>> {
    let request = prepare(addr, request)?;
    let kept = if options.new_connection {
        None
    } else {
        pool.idle().take(addr)
    };
    let Some(kept) = kept else {
        let connection = connect(addr, pool.limits()).await?;
        return attempt(pool, connection, request, options, sent)
            .await
            .map_err(|error| error.failure);
    };
    let error = match attempt(pool, kept, request, options, sent).await {
        Ok(response) => return Ok(response),
        Err(error) => error,
    };
    // Handed back: not a byte of it was written, so that this is no second call.
    let Some(request) = error.request else {
        return Err(error.failure);
    };
    let connection = connect(addr, pool.limits()).await?;
    attempt(pool, connection, *request, options, sent)
        .await
        .map_err(|error| error.failure)
}

/// A call that failed, with its request if none of it was written.
struct AttemptError {
    failure: Failure,
    request: Option<Box<Request<Full<Bytes>>>>,
}

async fn attempt(
    pool: &Pool,
    mut connection: Connection,
    request: Request<Full<Bytes>>,
    options: CallOptions,
    sent: &AtomicBool,
) -> std::result::Result<Response<Body>, AttemptError> {
    sent.store(true, Ordering::SeqCst);
    let answer = timeout(
        options.head_timeout,
        connection.sender.try_send_request(request),
    )
    .await;
    let cause = match answer {
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

/// Whether the service answers `GET /health` with success on a new connection.
pub(crate) async fn health(addr: SocketAddr) -> bool {
    let Ok(request) = Request::get("/health").body(Bytes::new()) else {
        return false;
    };
    let options = CallOptions {
        head_timeout: Duration::MAX,
        new_connection: true,
    };
    let answer = call(
        &Pool::default(),
        addr,
        request,
        options,
        &AtomicBool::new(false),
    )
    .await;
    answer.is_ok_and(|response| response.status().is_success())
}

/// The request as HTTP/1.1 wants it: path only, a host, a known length.
fn prepare(addr: SocketAddr, request: Request<Bytes>) -> Result<Request<Full<Bytes>>> {
    let failure = Failure {
        cause: Cause::Protocol,
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
    let socket = timeout(limits.connect_timeout, TcpStream::connect(addr))
        .await
        .map_err(|_| failure)?
        .map_err(|_| failure)?;
    socket.set_nodelay(true).map_err(|_| failure)?;
    let (sender, connection) = http1::handshake(TokioIo::new(socket))
        .await
        .map_err(|_| failure)?;
    let task = tokio::spawn(connection.map(|_| ())).abort_handle();
    Ok(Connection { sender, task, addr })
}

/// Takes an answer whose end can be told from a cut.
fn accept(
    pool: &Pool,
    connection: Connection,
    response: Response<hyper::body::Incoming>,
) -> Result<Response<Body>> {
    use hyper::body::Body as _;
    let has_end = response.body().is_end_stream()
        || response.body().size_hint().exact().is_some()
        || response.headers().contains_key(TRANSFER_ENCODING);
    if !has_end {
        connection.task.abort();
        return Err(Failure {
            cause: Cause::Protocol,
            sent: true,
        });
    }
    Ok(response.map(|incoming| Body::new(pool.clone(), connection, incoming)))
}
