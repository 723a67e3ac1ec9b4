//! An HTTP listener with limits on connections, time and memory, and with a graceful drain.
//!
//! A drain sends GOAWAY to HTTP/2 callers, and `connection: close` with the next answer to HTTP/1
//! callers. A connection without a request yet stays open, and new connections are still served:
//! callers cache lists of addresses for a while, and a closed connection would fail their request.
//! Idle connections are closed only when the listener closes.
//!
//! A connection is idle when no work is pending on the node. That includes a connection whose
//! answer is ready but not read: the caller may never read it, and would otherwise occupy the
//! connection, the request and the endpoint that serves it without limit.

mod activity;
mod socket;

use crate::limits::Limits;
use crate::metrics::Metrics;
use crate::tls::ReloadableConfig;
use activity::{Activity, TrackedService};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use memory::shares::{RECEIVE_BUFFER_BYTES, SEND_BUFFER_BYTES};
use socket::{Reset, Socket, Unsent};
use socket2::SockRef;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{Instant, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use viz::{Responder, Tree};

/// Delay after a failed accept, so that the thread does not spin when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Interval at which a connection is checked for being idle.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which a caller that does not read keeps its connection while memory is scarce.
const UNREAD_TIME: Duration = Duration::from_secs(1);
/// Maximum number of streams that a caller may reset before they are accepted; more of them close
/// the connection. Limits HTTP/2 reset floods.
const MAX_PENDING_RESETS: usize = 64;
/// Maximum number of bytes that are buffered per stream for a caller that reads slowly.
const MAX_SEND_BUFFER_BYTES: usize = 64 << 10;

/// Bytes that the caller of an HTTP/2 connection may send before they are read.
const WINDOW_BYTES: u32 = 64 << 10;

/// A listener that is not running yet.
pub struct Server {
    /// Listening socket.
    pub listener: TcpListener,
    /// Routes to the handlers.
    pub tree: Arc<Tree>,
    /// Limits of the listener.
    pub limits: Limits,
    /// TLS configuration, if the listener uses TLS.
    pub tls: Option<Arc<ReloadableConfig>>,
    /// Counters of the request path.
    pub metrics: Metrics,
}

/// The parts of a running server that its connections share.
struct Shared {
    tree: Arc<Tree>,
    limits: Limits,
    tls: Option<Arc<ReloadableConfig>>,
    metrics: Metrics,
}

/// Tokens that shut a listener down in steps.
#[derive(Clone, Debug, Default)]
pub struct Shutdown {
    /// Asks callers to move to another node; all requests are still served.
    pub drain: CancellationToken,
    /// Closes the listening socket; the listener ends when all connections have ended.
    pub close: CancellationToken,
    /// Aborts all connections.
    pub kill: CancellationToken,
}

impl Server {
    /// Serves until `shutdown.close` is cancelled and all connections have ended, or until
    /// `shutdown.kill` is cancelled.
    pub async fn run(self, shutdown: Shutdown) {
        // Accepted connections inherit the sizes. Failures are ignored: connections work with any buffer.
        let socket = SockRef::from(&self.listener);
        let _ = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
        let _ = socket.set_send_buffer_size(SEND_BUFFER_BYTES);
        let tracker = TaskTracker::new();
        let permits = Arc::new(Semaphore::new(self.limits.max_connections));
        let Self {
            listener,
            tree,
            limits,
            tls,
            metrics,
        } = self;
        let shared = Arc::new(Shared {
            tree,
            limits,
            tls,
            metrics,
        });
        loop {
            let accepted = tokio::select! {
                biased;
                () = shutdown.close.cancelled() => break,
                () = shutdown.kill.cancelled() => break,
                accepted = listener.accept() => accepted,
            };
            let Ok((stream, addr)) = accepted else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            // At the limit, a new connection is closed at once. The caller notices that and can
            // use another address, instead of waiting in a queue that it can't see.
            let Ok(permit) = permits.clone().try_acquire_owned() else {
                shared.metrics.refused_connections.add(1, &[]);
                continue;
            };
            let shared = shared.clone();
            let shutdown = shutdown.clone();
            tracker.spawn(async move {
                tokio::select! {
                    () = shutdown.kill.cancelled() => {}
                    () = shared.connection(stream, addr, &shutdown) => {}
                }
                drop(permit);
            });
        }
        // While the socket listens, the kernel establishes connections that would not be served.
        drop(listener);
        tracker.close();
        tracker.wait().await;
    }
}

impl Shared {
    async fn connection(&self, stream: TcpStream, addr: SocketAddr, shutdown: &Shutdown) {
        let _ = stream.set_nodelay(true);
        let Some(tls) = &self.tls else {
            return self.http(stream, addr, shutdown).await;
        };
        let acceptor = tokio_rustls::TlsAcceptor::from(tls.current());
        let handshake = timeout(self.limits.head_timeout, acceptor.accept(stream));
        if let Ok(Ok(stream)) = handshake.await {
            self.http(stream, addr, shutdown).await;
        }
    }

    async fn http<I>(&self, io: I, addr: SocketAddr, shutdown: &Shutdown)
    where
        I: AsyncRead + AsyncWrite + Reset + Unpin + Send + 'static,
    {
        let unsent = Arc::new(Unsent::new(&self.limits.memory));
        let activity = Arc::new(Activity::new(unsent.clone()));
        let socket = Socket::new(io, unsent.clone());
        let inner = Responder::new(self.tree.clone(), Some(addr));
        let service = TrackedService::new(inner, activity.clone(), shutdown.drain.clone());
        let builder = self.builder();
        let mut conn = pin!(builder.serve_connection(TokioIo::new(socket), service));
        let mut idle_since = Instant::now();
        let mut goaway_sent = false;
        let mut closing = false;
        let mut check = tokio::time::interval(IDLE_CHECK_INTERVAL);
        loop {
            tokio::select! {
                ended = conn.as_mut() => {
                    if ended.is_ok() {
                        unsent.set_ends_answer(false);
                    }
                    return;
                }
                () = shutdown.close.cancelled(), if !closing => {
                    closing = true;
                    conn.as_mut().graceful_shutdown();
                }
                _ = check.tick() => {}
            }
            if shutdown.drain.is_cancelled() && activity.http2() && !goaway_sent {
                goaway_sent = true;
                conn.as_mut().graceful_shutdown();
            }
            if activity.has_progressed() {
                idle_since = Instant::now();
            }
            if idle_since.elapsed() > self.idle_limit(&activity) {
                return;
            }
            if self.limits.is_memory_scarce() && activity.unread_for() >= UNREAD_TIME {
                self.metrics.unread_connections.add(1, &[]);
                return;
            }
        }
    }

    /// Returns the idle timeout. Until the first request it is the timeout of a request's head,
    /// because callers that connect without sending a request could otherwise occupy all
    /// connections.
    fn idle_limit(&self, activity: &Activity) -> Duration {
        match activity.has_requests() {
            false => self.limits.head_timeout,
            true => self.limits.idle_timeout,
        }
    }

    fn builder(&self) -> Builder<TokioExecutor> {
        let mut builder = Builder::new(TokioExecutor::new());
        builder
            .http1()
            .timer(TokioTimer::new())
            .header_read_timeout(self.limits.head_timeout)
            .max_buf_size(self.limits.max_head_bytes.max(8 << 10));
        builder
            .http2()
            .timer(TokioTimer::new())
            .max_concurrent_streams(self.limits.max_streams)
            .max_header_list_size(u32::try_from(self.limits.max_head_bytes).unwrap_or(u32::MAX))
            .max_pending_accept_reset_streams(MAX_PENDING_RESETS)
            .max_send_buf_size(MAX_SEND_BUFFER_BYTES)
            .initial_stream_window_size(WINDOW_BYTES)
            .initial_connection_window_size(WINDOW_BYTES)
            .keep_alive_interval(self.limits.idle_timeout / 4)
            .keep_alive_timeout(self.limits.head_timeout);
        builder
    }
}
