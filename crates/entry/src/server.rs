//! A bounded HTTP listener: connections, time and memory are limited, and a drain cuts nothing.
//!
//! A drain tells HTTP/2 callers to go away (GOAWAY) and HTTP/1 callers that their next answer is
//! the last one of the connection (`connection: close`). A connection without a request yet is
//! left alone, and new ones are still served: a caller may keep an address answer for a while, and
//! closing on it would be a failed request. Only at the close are the idle ones ended.
//!
//! A connection is idle when nothing goes on that the node has to do. One whose answer is there and
//! is not read is idle too: its caller may never read it, and the connection, the request and the
//! endpoint that serves it would be taken for good.

mod activity;

use crate::limits::Limits;
use crate::metrics::Metrics;
use crate::tls::ReloadableConfig;
use activity::{Activity, TrackedService};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
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

/// Pause after a failed accept, so that a lack of file descriptors does not spin the thread.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// How often a connection is looked at for being idle.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Frames that a caller may reset before the connection is closed, against reset floods.
const MAX_PENDING_RESETS: usize = 64;
/// Bytes that wait for a caller who reads slowly, per stream.
const MAX_SEND_BUFFER_BYTES: usize = 64 << 10;

/// What a listener is made of.
pub struct Server {
    /// Where it listens.
    pub listener: TcpListener,
    /// Routes.
    pub tree: Arc<Tree>,
    /// Bounds.
    pub limits: Limits,
    /// Certificate, if it speaks TLS.
    pub tls: Option<Arc<ReloadableConfig>>,
    /// Counters.
    pub metrics: Metrics,
}

/// When a listener ends.
#[derive(Clone, Debug, Default)]
pub struct Shutdown {
    /// Callers are told to go elsewhere; all that comes is still served.
    pub drain: CancellationToken,
    /// No connection is accepted any more; returns once all have ended.
    pub close: CancellationToken,
    /// Connections are broken off.
    pub kill: CancellationToken,
}

impl Server {
    /// Serves until `stop.close`, then until every connection has ended or `stop.kill`.
    pub async fn run(self, shutdown: Shutdown) {
        let tracker = TaskTracker::new();
        let permits = Arc::new(Semaphore::new(self.limits.max_connections));
        let shared = Arc::new(self);
        loop {
            let accepted = tokio::select! {
                biased;
                () = shutdown.close.cancelled() => break,
                () = shutdown.kill.cancelled() => break,
                accepted = shared.listener.accept() => accepted,
            };
            let Ok((stream, addr)) = accepted else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            // Over the bound the connection is closed at once: the caller sees it and goes to
            // another address, instead of waiting in a queue that it can't see.
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
        tracker.close();
        tracker.wait().await;
    }

    async fn connection(&self, stream: TcpStream, addr: SocketAddr, shutdown: &Shutdown) {
        let _ = stream.set_nodelay(true);
        let Some(tls) = &self.tls else {
            return self.http(stream, addr, shutdown).await;
        };
        let acceptor = tokio_rustls::TlsAcceptor::from(tls.config());
        let handshake = timeout(self.limits.head_timeout, acceptor.accept(stream));
        if let Ok(Ok(stream)) = handshake.await {
            self.http(stream, addr, shutdown).await;
        }
    }

    async fn http<I>(&self, io: I, addr: SocketAddr, shutdown: &Shutdown)
    where
        I: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let activity = Arc::new(Activity::default());
        let inner = Responder::new(self.tree.clone(), Some(addr));
        let service = TrackedService::new(inner, activity.clone(), shutdown.drain.clone());
        let builder = self.builder();
        let mut conn = pin!(builder.serve_connection(TokioIo::new(io), service));
        let mut idle_since = Instant::now();
        let mut goaway_sent = false;
        let mut closing = false;
        let mut check = tokio::time::interval(IDLE_CHECK_INTERVAL);
        loop {
            tokio::select! {
                _ = conn.as_mut() => return,
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
        }
    }

    /// A connection that has not brought its first request yet has the time of a head; without
    /// this bound, callers that connect and say nothing would use up the connections.
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
            .keep_alive_interval(self.limits.idle_timeout / 4)
            .keep_alive_timeout(self.limits.head_timeout);
        builder
    }
}
