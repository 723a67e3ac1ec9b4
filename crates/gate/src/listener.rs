//! Listeners of a worker: requests, service discovery, readiness and metrics.

use crate::body::Body;
use crate::dialect::Dialect;
use crate::discovery;
use crate::splice::Chunk;
use crate::stats::Guard;
use crate::worker::Worker;
use futures::Stream;
use http::header::{CONNECTION, HeaderValue};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Path of the metrics endpoint.
const METRICS_PATH: &str = "/metrics";
/// Path of the state dump.
const DUMP_PATH: &str = "/dump";
/// Delay after a failed `accept`, so that a shortage of file descriptors does not make the loop
/// spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// `TCP_USER_TIMEOUT` of callers' connections: time without an acknowledgement of sent data after
/// which the kernel closes the connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(10);
/// Time in which the first request on a connection must arrive while the node drains.
const FIRST_REQUEST_TIME: Duration = Duration::from_secs(1);
/// Minimum read buffer for request heads that the HTTP library accepts.
const MIN_HEAD_BUFFER_BYTES: usize = 8192;

/// The role of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Port {
    /// Requests of callers.
    Callers,
    /// Lists of node addresses for service discovery.
    Addresses,
    /// Readiness checks.
    Ready,
    /// Metrics and the state dump, for operators.
    Metrics,
}

/// Tokens that end a listener.
#[derive(Clone, Debug, Default)]
pub struct Stop {
    /// Graceful shutdown: connections close after the request in progress, idle ones at once.
    pub drain: CancellationToken,
    /// Aborts all connections and ends the listener.
    pub kill: CancellationToken,
}

/// Interval at which bodies are checked for being overdue.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Accepts up to `max_connections` concurrent connections until `stop.kill` is cancelled.
pub async fn run<D: Dialect>(
    worker: Rc<Worker<D>>,
    listener: TcpListener,
    port: Port,
    max_connections: usize,
    stop: Stop,
) {
    let tracker = TaskTracker::new();
    let permits = std::sync::Arc::new(Semaphore::new(max_connections));
    let mut sweep = tokio::time::interval(SWEEP_INTERVAL);
    sweep.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let accepted = tokio::select! {
            () = stop.kill.cancelled() => return,
            _ = sweep.tick(), if port == Port::Callers => {
                worker.admission.sweep();
                continue;
            }
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        // Above the limit the connection is closed at once, and the caller connects to another
        // node.
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            continue;
        };
        let worker = worker.clone();
        let stop = stop.clone();
        let open =
            (port == Port::Callers).then(|| Guard::new(worker.stats.clone(), |s| &s.connections));
        tracker.spawn_local(async move {
            tokio::select! {
                () = stop.kill.cancelled() => {}
                () = serve_connection(worker, stream, port, &stop) => {}
            }
            drop((permit, open));
        });
    }
}

async fn serve_connection<D: Dialect>(
    worker: Rc<Worker<D>>,
    stream: TcpStream,
    port: Port,
    stop: &Stop,
) {
    // Without these options responses are slower or a lost caller is detected later, but the
    // connection works; failures are ignored.
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
    let limits = worker.view().map(|v| v.fleet.catalog.limits);
    let limits = limits.unwrap_or_default();
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        // The library has a single timeout for reading a head, which also runs while a keep-alive
        // connection is idle.
        .header_read_timeout(limits.idle_time.max(limits.head_time))
        .max_buf_size(
            limits
                .head_bytes
                .max(MIN_HEAD_BUFFER_BYTES)
                .saturating_mul(2),
        );
    let used = CancellationToken::new();
    let first_request = used.clone();
    let service = service_fn(move |request| {
        first_request.cancel();
        respond(worker.clone(), request, port)
    });
    let mut conn = pin!(builder.serve_connection(TokioIo::new(stream), service));
    // An error ends only this caller's connection, and its request writes its own log lines.
    tokio::select! {
        _ = conn.as_mut() => return,
        () = drained(stop, &used) => conn.as_mut().graceful_shutdown(),
    }
    let _ = conn.await;
}

/// Waits until a connection is to be closed after the request in progress, if any: the node drains, and
/// the first request on the connection has arrived. The HTTP library closes a connection without a
/// request at once, and a caller that has just connected would get no response.
async fn drained(stop: &Stop, used: &CancellationToken) {
    stop.drain.cancelled().await;
    // The connection is closed in any case.
    let _ = tokio::time::timeout(FIRST_REQUEST_TIME, used.cancelled()).await;
}

async fn respond<D: Dialect>(
    worker: Rc<Worker<D>>,
    request: Request<Incoming>,
    port: Port,
) -> Result<Response<Body<impl Stream<Item = Chunk>>>, Infallible> {
    let leaving = worker.leaving();
    let path = request.uri().path();
    let mut response = match port {
        Port::Addresses if path == worker.dialect.addresses_path() => discovery::addresses(
            &worker.dialect,
            worker.view().as_deref(),
            worker.next_rotation(),
        ),
        Port::Ready if path == worker.dialect.ready_path() => {
            discovery::readiness(worker.view().as_deref(), leaving)
        }
        Port::Metrics if path == METRICS_PATH => metrics(&worker),
        Port::Metrics if path == DUMP_PATH => Response::new(crate::body::full(worker.dump().await)),
        Port::Callers => worker.serve(request).await,
        _ => not_found(),
    };
    if leaving {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    Ok(response)
}

fn metrics<D: Dialect, S>(worker: &Worker<D>) -> Response<Body<S>> {
    match worker.metrics.encode() {
        Ok(text) => Response::new(crate::body::full(text)),
        Err(error) => {
            let mut response = Response::new(crate::body::full(error.to_string()));
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            response
        }
    }
}

fn not_found<S>() -> Response<Body<S>> {
    let mut response = Response::new(crate::body::full(""));
    *response.status_mut() = StatusCode::NOT_FOUND;
    response
}
