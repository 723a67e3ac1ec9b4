//! Faults of the platform stand-ins, and the HTTP server that injects them.

use crate::lifecycle::RETRY_INTERVAL;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, AtomicU32, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 8 << 20;
/// Interval at which a request to an unresponsive service checks whether the mode has changed.
const MODE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Availability of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Answers requests.
    Up,
    /// Closes every connection without an answer or an effect.
    Down,
    /// Accepts connections and requests but neither executes nor answers them.
    Unresponsive,
}

/// Fault switches and counters of one stand-in.
#[derive(Debug, Default)]
pub struct Faults {
    mode: AtomicU8,
    delay_us: AtomicU64,
    answers_to_drop: AtomicU32,
    dropped_answers: AtomicU64,
    calls: AtomicU64,
    connections: AtomicU64,
    /// Closes all open connections when cancelled.
    cut: Mutex<CancellationToken>,
}

impl Faults {
    /// Sets the mode. [`Mode::Down`] also closes all open connections.
    pub fn set_mode(&self, mode: Mode) {
        self.mode.store(mode as u8, Relaxed);
        if mode == Mode::Down {
            let renewed = CancellationToken::new();
            std::mem::replace(&mut *lock(&self.cut), renewed).cancel();
        }
    }

    /// Current mode.
    pub fn mode(&self) -> Mode {
        match self.mode.load(Relaxed) {
            0 => Mode::Up,
            1 => Mode::Down,
            _ => Mode::Unresponsive,
        }
    }

    /// Delays each call by `delay` before its effect.
    pub fn set_delay(&self, delay: Duration) {
        self.delay_us.store(
            u64::try_from(delay.as_micros()).unwrap_or(u64::MAX),
            Relaxed,
        );
    }

    /// Drops the answers to the next `count` writes, after their effect, by closing the connection.
    pub fn drop_answers(&self, count: u32) {
        self.answers_to_drop.store(count, Relaxed);
    }

    /// Number of answers dropped so far.
    pub fn dropped_answers(&self) -> u64 {
        self.dropped_answers.load(Relaxed)
    }

    /// Number of calls received so far.
    pub fn calls(&self) -> u64 {
        self.calls.load(Relaxed)
    }

    /// Number of connections accepted so far, except those closed at once in [`Mode::Down`].
    pub fn connections(&self) -> u64 {
        self.connections.load(Relaxed)
    }

    /// Returns whether the answer to this write is to be dropped, and counts it.
    fn take_answer_drop(&self) -> bool {
        let is_dropped = self
            .answers_to_drop
            .fetch_update(Relaxed, Relaxed, |n| n.checked_sub(1))
            .is_ok();
        self.dropped_answers
            .fetch_add(u64::from(is_dropped), Relaxed);
        is_dropped
    }

    /// Returns the token that cuts connections accepted now.
    fn token(&self) -> CancellationToken {
        lock(&self.cut).clone()
    }

    /// Waits while the service is unresponsive, and then for the configured delay.
    async fn wait(&self) {
        while self.mode() == Mode::Unresponsive {
            tokio::time::sleep(MODE_POLL_INTERVAL).await;
        }
        tokio::time::sleep(Duration::from_micros(self.delay_us.load(Relaxed))).await;
    }
}

/// A service's answer; [`Faults::drop_answers`] applies to it if it answers a write.
#[derive(Debug)]
pub struct Answer {
    /// HTTP response.
    pub response: Response<Full<Bytes>>,
    /// Whether the request was a write that took effect.
    pub written: bool,
}

impl Answer {
    /// Creates an answer with a status and a body.
    pub fn new(status: StatusCode, body: impl Into<Bytes>) -> Self {
        let mut response = Response::new(Full::new(body.into()));
        *response.status_mut() = status;
        Self {
            response,
            written: false,
        }
    }

    /// Creates an answer with a JSON body.
    pub fn json(value: &impl serde::Serialize) -> Self {
        match serde_json::to_vec(value) {
            Ok(body) => Self::new(StatusCode::OK, body),
            Err(_) => Self::new(StatusCode::INTERNAL_SERVER_ERROR, ""),
        }
    }

    /// Marks the answer as that of a write that took effect.
    pub fn written(self) -> Self {
        Self {
            written: true,
            ..self
        }
    }
}

/// Request handler of a stand-in.
pub trait Service: Send + Sync + 'static {
    /// Answers a request whose body was read completely.
    fn answer(&self, request: Request<Bytes>) -> impl Future<Output = Answer> + Send;
}

/// Listener of a running stand-in; dropping it stops the stand-in.
#[derive(Debug)]
pub struct Server {
    /// Address that the server listens on.
    pub addr: SocketAddr,
    stop: CancellationToken,
}

impl Server {
    /// Listens on `addr` and serves requests until dropped.
    pub async fn start<S: Service>(
        addr: SocketAddr,
        faults: Arc<Faults>,
        service: Arc<S>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let stop = CancellationToken::new();
        tokio::spawn(stop.clone().run_until_cancelled_owned(accept(
            listener,
            faults,
            service,
            stop.clone(),
        )));
        Ok(Self { addr, stop })
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// Accepts connections, and serves each until it ends, is cut by a fault or the server stops.
async fn accept<S: Service>(
    listener: TcpListener,
    faults: Arc<Faults>,
    service: Arc<S>,
    stop: CancellationToken,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(RETRY_INTERVAL).await;
            continue;
        };
        if faults.mode() == Mode::Down {
            continue;
        }
        faults.connections.fetch_add(1, Relaxed);
        let cut = faults.token();
        let work = serve(stream, faults.clone(), service.clone());
        let stop = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = work => {}
                () = cut.cancelled() => {}
                () = stop.cancelled() => {}
            }
        });
    }
}

async fn serve<S: Service>(stream: TcpStream, faults: Arc<Faults>, service: Arc<S>) {
    stream.set_nodelay(true).ok();
    let handler = service_fn(move |request| respond(request, faults.clone(), service.clone()));
    // An error means that the connection ended early; the client sees that itself.
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), handler)
        .await;
}

/// Handles one request; an error closes the connection without an answer.
async fn respond<S: Service>(
    request: Request<Incoming>,
    faults: Arc<Faults>,
    service: Arc<S>,
) -> io::Result<Response<Full<Bytes>>> {
    faults.calls.fetch_add(1, Relaxed);
    faults.wait().await;
    if faults.mode() == Mode::Down {
        return Err(io::ErrorKind::ConnectionReset.into());
    }
    let (parts, body) = request.into_parts();
    let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
        return Ok(Answer::new(StatusCode::PAYLOAD_TOO_LARGE, "").response);
    };
    let answer = service
        .answer(Request::from_parts(parts, body.to_bytes()))
        .await;
    if answer.written && faults.take_answer_drop() {
        return Err(io::ErrorKind::ConnectionReset.into());
    }
    Ok(answer.response)
}

/// Locks a mutex and ignores poisoning: no holder leaves the data inconsistent.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
