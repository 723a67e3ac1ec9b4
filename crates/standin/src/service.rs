//! A stand-in for a plain service. A `POST` has an effect, which is counted by its idempotency key,
//! or by its body where it has none; the answer is text that only this path and body give.

mod fault;

use crate::lifecycle::{self, Connection, Lifecycle, Serve, lock};
use bytes::Bytes;
pub use fault::CrashPoint;
use fault::Fault;
use futures::{StreamExt, stream};
use http::header::{CONTENT_LENGTH, RETRY_AFTER};
use http::{HeaderMap, Method, Request, Response, StatusCode};
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

/// Header that names a call, so that a second one with the same name can be told.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Longest body of a call.
const MAX_BODY_BYTES: usize = 16 << 20;

/// How a service is set up.
#[derive(Clone, Debug)]
pub struct Config {
    /// Where to listen; port 0 takes any.
    pub addr: SocketAddr,
    /// Pieces that an answer is sent in; one piece has a length, more are chunked.
    pub pieces: usize,
    /// Wait before each piece but the first.
    pub piece_time: Duration,
    /// Bytes of each piece, at least.
    pub piece_bytes: usize,
    /// When it comes back by itself after a crash; `None` waits for [`Handle::restart`].
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

/// The text that answers a call, by piece.
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

/// A running service: its switches for faults and its counts.
#[derive(Clone, Debug)]
pub struct Handle {
    /// Where it listens.
    pub addr: SocketAddr,
    state: Arc<State>,
}

impl Handle {
    /// Effects of calls with this key, or this body where they have no key.
    pub fn effects(&self, key: &str) -> u64 {
        lock(&self.state.effects)
            .get(key)
            .copied()
            .unwrap_or_default()
    }

    /// Effects of all calls.
    pub fn all_effects(&self) -> BTreeMap<String, u64> {
        lock(&self.state.effects).clone()
    }

    /// Calls that arrived whole.
    pub fn call_count(&self) -> u64 {
        self.state.calls.load(Ordering::SeqCst)
    }

    /// Connections accepted so far.
    pub fn connection_count(&self) -> u64 {
        self.state.lifecycle.connection_count()
    }

    /// Dies now: the listener and all connections close. Counts of effects are kept.
    pub fn crash(&self) {
        lifecycle::crash(&self.state);
    }

    /// Dies at this moment of each call.
    pub fn crash_at(&self, point: Option<CrashPoint>) {
        self.state.fault.set_crash(point);
    }

    /// Comes back on the same address.
    pub async fn restart(&self) -> io::Result<()> {
        lifecycle::restart(&self.state).await
    }

    /// Goes silent on the connections open now; new ones work.
    pub fn hang_open_connections(&self) {
        self.state.lifecycle.hang_open_connections();
    }

    /// Goes silent wholly: connections are accepted and nothing is answered.
    pub fn set_unresponsive(&self, on: bool) {
        self.state.lifecycle.set_unresponsive(on);
    }

    /// Has its effect and begins its answer this much late.
    pub fn set_delay(&self, delay: Duration) {
        self.state.fault.set_delay(delay);
    }

    /// Cuts each answer off in the middle.
    pub fn truncate_answers(&self, on: bool) {
        self.state.fault.truncate.store(on, Ordering::SeqCst);
    }

    /// Refuses each call with 503 and `retry-after: 1`, without an effect.
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
        if is_single {
            response.headers_mut().insert(CONTENT_LENGTH, length.into());
        }
        response
    }
}

/// Leaves the first half, and an error that closes the connection.
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

/// What names a call.
fn key(headers: &HeaderMap, body: &[u8]) -> String {
    let named = headers
        .get(IDEMPOTENCY_KEY)
        .and_then(|key| key.to_str().ok());
    named.map_or_else(|| String::from_utf8_lossy(body).into_owned(), str::to_owned)
}

fn plain(status: StatusCode) -> Response<Answer> {
    let mut response = Response::new(StreamBody::new(stream::empty().boxed()));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_LENGTH, 0.into());
    response
}
