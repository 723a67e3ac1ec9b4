//! A stand-in for a plain service. The effect of a `POST` is counted by its idempotency key, or by
//! its body if it has no key. The answer is text derived from the path and the body.

mod fault;

use crate::lifecycle::{self, Connection, Lifecycle, Serve, lock};
use bytes::Bytes;
pub use fault::CrashPoint;
use fault::Fault;
use futures::{StreamExt, stream};
use http::header::{CONTENT_LENGTH, RETRY_AFTER};
use http::{HeaderMap, Method, Request, Response, StatusCode, Version};
use http_body_util::{BodyExt, Limited, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64;

/// Header with the idempotency key, which identifies retries of the same call.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Configuration of a service.
#[derive(Clone, Debug)]
pub struct Config {
    /// Address to listen on; port 0 picks a free port.
    pub addr: SocketAddr,
    /// Number of pieces of an answer. One piece is sent with a content length, several are chunked.
    pub pieces: usize,
    /// Delay before each piece except the first.
    pub piece_time: Duration,
    /// Minimum size of a piece, in bytes.
    pub piece_bytes: usize,
    /// Delay of the automatic restart after a crash; `None` waits for [`Handle::restart`].
    pub restart_after: Option<Duration>,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            addr: (Ipv4Addr::LOCALHOST, 0).into(),
            pieces: 1,
            piece_time: Duration::ZERO,
            piece_bytes: 64,
            restart_after: None,
        }
    }
}

/// Returns the expected answer to a call, by piece.
pub fn answer(config: &Config, path: &str, body: &[u8]) -> Vec<String> {
    let hash = xxh3_64(body);
    let piece = |number: usize| {
        let line = format!("{path} {hash:016x} {number}/{}\n", config.pieces);
        line.repeat(config.piece_bytes.div_ceil(line.len()).max(1))
    };
    (1..=config.pieces.max(1)).map(piece).collect()
}

#[derive(Debug)]
struct State {
    config: Config,
    lifecycle: Lifecycle,
    fault: Fault,
    /// Number of effects, by idempotency key or body.
    effects: Mutex<BTreeMap<String, u64>>,
    calls: AtomicU64,
}

/// The stand-in service.
#[derive(Debug)]
pub struct Service;

impl Service {
    /// Starts a service on the current runtime.
    pub async fn start(config: Config) -> io::Result<Handle> {
        let listener = lifecycle::bind(config.addr).await?;
        let addr = listener.local_addr()?;
        let state = Arc::new(State {
            lifecycle: Lifecycle::new(addr, config.restart_after),
            fault: Fault::default(),
            effects: Mutex::default(),
            calls: AtomicU64::new(0),
            config,
        });
        lifecycle::start(&state, listener);
        Ok(Handle { addr, state })
    }
}

/// Controls the faults of a running service and reads its counters.
#[derive(Clone, Debug)]
pub struct Handle {
    /// Address that the service listens on.
    pub addr: SocketAddr,
    state: Arc<State>,
}

impl Handle {
    /// Number of effects of calls with this idempotency key, or with this body if they had no key.
    pub fn effects(&self, key: &str) -> u64 {
        lock(&self.state.effects)
            .get(key)
            .copied()
            .unwrap_or_default()
    }

    /// Number of effects by idempotency key or body, of all calls.
    pub fn all_effects(&self) -> BTreeMap<String, u64> {
        lock(&self.state.effects).clone()
    }

    /// Number of calls received completely, health checks excluded.
    pub fn call_count(&self) -> u64 {
        self.state.calls.load(Ordering::SeqCst)
    }

    /// Number of connections accepted so far.
    pub fn connection_count(&self) -> u64 {
        self.state.lifecycle.connection_count()
    }

    /// Crashes the service: the listener and all connections close. Counts of effects are kept.
    pub fn crash(&self) {
        lifecycle::crash(&self.state);
    }

    /// Crashes the service at this point of each call; `None` turns this off.
    pub fn crash_at(&self, point: Option<CrashPoint>) {
        self.state.fault.set_crash(point);
    }

    /// Restarts a crashed service on the same address.
    pub async fn restart(&self) -> io::Result<()> {
        lifecycle::restart(&self.state).await
    }

    /// Stops answering on the connections that are open now; new connections work.
    pub fn hang_open_connections(&self) {
        self.state.lifecycle.hang_open_connections();
    }

    /// Accepts connections but answers nothing on any of them while `on`. Connections that were
    /// used meanwhile stay unresponsive after it is turned off.
    pub fn set_unresponsive(&self, on: bool) {
        self.state.lifecycle.set_unresponsive(on);
    }

    /// Delays the effect and the answer of each call by `delay`.
    pub fn set_delay(&self, delay: Duration) {
        self.state.fault.set_delay(delay);
    }

    /// Truncates each answer to about half and then closes the connection, while `on`.
    pub fn truncate_answers(&self, on: bool) {
        self.state.fault.truncate.store(on, Ordering::SeqCst);
    }

    /// Answers in HTTP/1.0 without a length, so that each answer ends with its connection, while `on`.
    pub fn end_by_close(&self, on: bool) {
        self.state.fault.end_by_close.store(on, Ordering::SeqCst);
    }

    /// Refuses each call with status 503 and `retry-after: 1`, without an effect, while `on`.
    pub fn set_busy(&self, on: bool) {
        self.state.fault.busy.store(on, Ordering::SeqCst);
    }
}

type Piece = io::Result<Frame<Bytes>>;
type Answer = StreamBody<Pin<Box<dyn futures::Stream<Item = Piece> + Send>>>;

impl Serve for State {
    fn lifecycle(&self) -> &Lifecycle {
        &self.lifecycle
    }

    fn on_start(self: &Arc<Self>) {}

    async fn serve(self: Arc<Self>, connection: Connection) {
        let service = service_fn(move |request| {
            let state = self.clone();
            async move { Ok::<_, Infallible>(state.call(request).await) }
        });
        let server = auto::Builder::new(TokioExecutor::new());
        let _ = server
            .serve_connection(TokioIo::new(connection), service)
            .await;
    }
}

impl State {
    async fn call(self: Arc<Self>, request: Request<Incoming>) -> Response<Answer> {
        let (parts, body) = request.into_parts();
        let path = parts.uri.path().to_owned();
        if parts.method == Method::GET && path == "/health" {
            return plain(StatusCode::OK);
        }
        let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
            return plain(StatusCode::BAD_REQUEST);
        };
        let body = body.to_bytes();
        self.calls.fetch_add(1, Ordering::SeqCst);
        if self.fault.busy.load(Ordering::SeqCst) {
            let mut response = plain(StatusCode::SERVICE_UNAVAILABLE);
            response.headers_mut().insert(RETRY_AFTER, 1.into());
            return response;
        }
        self.crash_if_due(CrashPoint::Before).await;
        sleep(self.fault.delay()).await;
        if parts.method == Method::POST {
            *lock(&self.effects)
                .entry(key(&parts.headers, &body))
                .or_default() += 1;
        }
        self.crash_if_due(CrashPoint::After).await;
        self.answer(&path, &body)
    }

    /// Crashes the service if the fault switch selects this point, and then never returns.
    async fn crash_if_due(self: &Arc<Self>, point: CrashPoint) {
        if self.fault.crash() == Some(point) {
            lifecycle::crash(self);
            futures::future::pending::<()>().await;
        }
    }

    fn answer(&self, path: &str, body: &[u8]) -> Response<Answer> {
        let mut pieces: Vec<Piece> = answer(&self.config, path, body)
            .into_iter()
            .map(|piece| Ok(Frame::data(piece.into())))
            .collect();
        let length = answer(&self.config, path, body).concat().len();
        let is_single = pieces.len() == 1;
        if self.fault.truncate.load(Ordering::SeqCst) {
            truncate(&mut pieces);
        }
        let wait = self.config.piece_time;
        let pieces =
            stream::iter(pieces.into_iter().enumerate()).then(move |(number, piece)| async move {
                if number > 0 {
                    sleep(wait).await;
                }
                piece
            });
        let mut response = Response::new(StreamBody::new(pieces.boxed()));
        if self.fault.end_by_close.load(Ordering::SeqCst) {
            *response.version_mut() = Version::HTTP_10;
        } else if is_single {
            response.headers_mut().insert(CONTENT_LENGTH, length.into());
        }
        response
    }
}

/// Keeps the first half of the pieces, or of a single piece, and appends an error that closes the
/// connection.
fn truncate(pieces: &mut Vec<Piece>) {
    let half = pieces.len() / 2;
    pieces.truncate(half.max(1));
    if let [Ok(frame)] = pieces.as_mut_slice()
        && let Some(data) = frame.data_mut()
    {
        data.truncate(data.len() / 2);
    }
    pieces.push(Err(io::ErrorKind::ConnectionReset.into()));
}

/// Returns the idempotency key of a call, or its body if it has none.
fn key(headers: &HeaderMap, body: &[u8]) -> String {
    let named = headers
        .get(IDEMPOTENCY_KEY)
        .and_then(|key| key.to_str().ok());
    named.map_or_else(|| String::from_utf8_lossy(body).into_owned(), str::to_owned)
}

/// Creates a response without a body.
fn plain(status: StatusCode) -> Response<Answer> {
    let mut response = Response::new(StreamBody::new(stream::empty().boxed()));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_LENGTH, 0.into());
    response
}
