//! Listeners of a worker: requests, service discovery, readiness and metrics.

use crate::body::{Body, Tracked};
use crate::connection::{self, Connections, Socket, State};
use crate::dialect::Dialect;
use crate::discovery;
use crate::splice::Chunk;
use crate::stats::Guard;
use crate::worker::Worker;
use catalog::limits::Limits;
use futures::Stream;
use http::header::{CONNECTION, HeaderValue};
use http::{Request, Response, StatusCode, Version};
use hyper::body::{Body as _, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use memory::shares::{RECEIVE_BUFFER_BYTES, SEND_BUFFER_BYTES};
use socket2::SockRef;
use std::convert::Infallible;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
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

/// Interval at which connections and bodies are checked for being overdue.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Accepts up to `max_connections` concurrent connections until `stop.kill` is cancelled. Above that, the
/// connection that has sent no whole request for longest gives way.
pub async fn run<D: Dialect>(
    worker: Rc<Worker<D>>,
    listener: TcpListener,
    port: Port,
    max_connections: usize,
    stop: Stop,
) {
    let tracker = TaskTracker::new();
    let connections = Connections::new(max_connections, worker.metrics.clone());
    let mut sweep = tokio::time::interval(SWEEP_INTERVAL);
    sweep.set_missed_tick_behavior(MissedTickBehavior::Delay);
    // Accepted connections inherit the sizes. Failures are ignored: connections work with any buffer.
    let socket = SockRef::from(&listener);
    let _ = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    let _ = socket.set_send_buffer_size(SEND_BUFFER_BYTES);
    let serves_requests = port == Port::Callers;
    loop {
        let accepted = tokio::select! {
            biased;
            () = stop.kill.cancelled() => return,
            _ = sweep.tick(), if serves_requests || !connections.is_empty() => {
                connections.sweep();
                if serves_requests {
                    worker.admission.sweep();
                    worker.metrics.record_connections(worker.open_connections());
                }
                continue;
            }
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let limits = worker.view().map(|v| v.fleet.catalog.limits);
        let limits = limits.unwrap_or_default();
        let state = Rc::new(State::new(worker.admission.clone(), limits));
        // If none gives way, the caller connects to another node.
        let Some(listed) = connections.add(state.clone()) else {
            continue;
        };
        let (worker, stop) = (worker.clone(), stop.clone());
        let open = serves_requests.then(|| Guard::new(worker.stats.clone(), |s| &s.connections));
        tracker.spawn_local(async move {
            tokio::select! {
                () = stop.kill.cancelled() => {}
                () = state.closed() => {}
                () = serve_connection(worker, stream, port, &stop, &state, &limits) => {}
            }
            drop((listed, open));
        });
    }
}

async fn serve_connection<D: Dialect>(
    worker: Rc<Worker<D>>,
    stream: TcpStream,
    port: Port,
    stop: &Stop,
    state: &Rc<State>,
    limits: &Limits,
) {
    // Without these options responses are slower or a lost caller is detected later, but the
    // connection works; failures are ignored.
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        // The library has a single timeout for reading a head, which also runs while a keep-alive
        // connection is idle. That of a head is checked with the connections.
        .header_read_timeout(limits.idle_time.max(limits.head_time))
        .max_buf_size(connection::max_buffer_bytes(limits));
    let used = CancellationToken::new();
    let first_request = used.clone();
    let connection = state.clone();
    // The library keeps space for the future in each connection, also while it is idle.
    let service = service_fn(move |request| {
        first_request.cancel();
        Box::pin(respond(worker.clone(), request, port, connection.clone()))
    });
    let socket = Socket::new(stream, state.clone());
    let mut conn = builder.serve_connection(TokioIo::new(socket), service);
    // An error ends only this caller's connection, and its request writes its own log lines.
    let ended = tokio::select! {
        ended = poll_fn(|cx| conn.poll_without_shutdown(cx)) => Some(ended),
        () = drained(stop, &used) => None,
    };
    let ended = match ended {
        Some(ended) => ended,
        None => {
            Pin::new(&mut conn).graceful_shutdown();
            poll_fn(|cx| conn.poll_without_shutdown(cx)).await
        }
    };
    let mut socket = conn.into_parts().io.into_inner();
    if ended.is_ok() {
        state.set_ends_response(false);
    }
    if ended.is_ok() && state.is_unread() {
        state.begin_closing();
        Box::pin(connection::linger(socket, limits.body_bytes)).await;
    } else if !state.ends_response() {
        // The connection is closed in any case.
        let _ = socket.shutdown().await;
    }
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
    connection: Rc<State>,
) -> Result<Response<Tracked<Body<impl Stream<Item = Chunk>>>>, Infallible> {
    let tracker = connection.begin_request();
    let is_earlier = request.version() < Version::HTTP_11;
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
        Port::Callers => worker.serve(request, connection).await,
        _ => not_found(),
    };
    if leaving || tracker.state().is_unread() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    let size = response.body().size_hint();
    // HTTP/1.0 has no chunks.
    let ends_with_connection = is_earlier && size.exact().is_none();
    tracker.state().set_ends_response(ends_with_connection);
    let length = size.lower();
    // Those of requests take their memory from the budget already.
    tracker.set_length(
        usize::try_from(length).unwrap_or(usize::MAX),
        port != Port::Callers,
    );
    Ok(response.map(|body| Tracked::new(body, tracker)))
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
