//! HTTP/2 connections to endpoints, by prior knowledge, kept open between requests.

mod connection;
mod counters;
mod unary;

pub use counters::Counters;

use crate::stream::Stream;
use bytes::Bytes;
use connection::Connection;
use http::{Method, Request, Response, StatusCode, Uri, Version};
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::timeout;

/// Bounds of a pool.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Longest time to make a connection.
    pub connect_timeout: Duration,
    /// Streams on one connection.
    pub max_streams: u32,
    /// Connections to one endpoint.
    pub max_connections: usize,
    /// Bytes that one stream may have under way to this node.
    pub stream_window: u32,
    /// Longest time for an answer to a load question or an order.
    pub response_timeout: Duration,
    /// A connection without streams is closed after one to two times this.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            max_streams: 256,
            max_connections: 8,
            stream_window: 256 << 10,
            response_timeout: Duration::from_secs(2),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

/// Why a request could not be made or answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// No connection within the time limit.
    Connect,
    /// All connections carry as many streams as they may.
    Full,
    /// The connection or stream broke.
    Reset,
    /// No answer within the time limit.
    Timeout,
    /// The answer's status.
    Status(StatusCode),
    /// The answer is too long or not of its format.
    Format,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect => f.write_str("no connection"),
            Self::Full => f.write_str("no free stream"),
            Self::Reset => f.write_str("connection broke"),
            Self::Timeout => f.write_str("no answer in time"),
            Self::Status(status) => write!(f, "status {status}"),
            Self::Format => f.write_str("answer is not of its format"),
        }
    }
}

impl std::error::Error for Error {}

/// Result of a pool's requests.
pub type Result<T> = std::result::Result<T, Error>;

/// Connections of one worker thread; clones share them.
#[derive(Clone, Debug)]
pub struct Pool {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    limits: Limits,
    endpoints: Mutex<HashMap<SocketAddr, Arc<Endpoint>>>,
    idle: crate::service::IdleConnections,
    counters: Counters,
}

/// Connections to one endpoint.
#[derive(Debug, Default)]
struct Endpoint {
    connections: Mutex<Vec<Connection>>,
    /// Held while a connection is made, so that a burst of requests makes one and not one each.
    connecting: tokio::sync::Mutex<()>,
    /// Connections that could not be made.
    failures: AtomicU64,
}

impl Endpoint {
    fn lock(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for Pool {
    fn default() -> Self {
        Self::new(Limits::default())
    }
}

/// The text for the dump: counts, then a line for each endpoint, by address.
impl fmt::Display for Pool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.inner.counters)?;
        let endpoints: BTreeMap<_, _> = self
            .endpoints()
            .iter()
            .map(|(a, h)| (*a, h.clone()))
            .collect();
        for (addr, endpoint) in endpoints {
            let connections = endpoint.lock();
            let running = connections
                .iter()
                .map(|c| c.active_streams(&self.inner.limits));
            let (open, streams) = (connections.len(), running.sum::<usize>());
            writeln!(f, "endpoint {addr} connections {open} streams {streams}")?;
        }
        Ok(())
    }
}

/// A request on a connection of a pool.
pub(crate) struct Opened {
    pub(crate) stream: Stream,
    /// Whether the connection was kept from earlier, so that it may be gone without a sign.
    pub(crate) reused: bool,
}

impl Pool {
    /// An empty pool.
    pub fn new(limits: Limits) -> Self {
        let inner = Inner {
            limits,
            endpoints: Mutex::default(),
            idle: crate::service::IdleConnections::default(),
            counters: Counters::default(),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// The pool's bounds.
    pub fn limits(&self) -> &Limits {
        &self.inner.limits
    }

    /// The pool's counts.
    pub fn counters(&self) -> &Counters {
        &self.inner.counters
    }

    pub(crate) fn idle(&self) -> &crate::service::IdleConnections {
        &self.inner.idle
    }

    /// Drops the connections to an endpoint: they went silent. Streams on them end as reset.
    pub fn drop_connections(&self, addr: SocketAddr) {
        self.endpoints().remove(&addr);
        self.inner.idle.drop_connections(addr);
    }

    /// Whether the endpoint answers `GET /health` with success on a new connection.
    pub async fn probe(&self, addr: SocketAddr, limit: Duration) -> bool {
        timeout(limit, unary::probe(addr, &self.inner.limits))
            .await
            .unwrap_or(false)
    }

    /// Connections kept to an endpoint.
    pub fn connection_count(&self, addr: SocketAddr) -> usize {
        let endpoint = self.endpoints().get(&addr).cloned();
        endpoint.map_or(0, |endpoint| {
            endpoint.lock().iter().filter(|c| c.is_open()).count()
        })
    }

    /// Opens a stream with a request whose body is still to be sent.
    pub(crate) async fn open(
        &self,
        addr: SocketAddr,
        path: &str,
        new_connection: bool,
    ) -> Result<Opened> {
        let request = request(Method::POST, addr, path)?;
        let (connection, reused) = self.connection(addr, new_connection).await?;
        let stream = connection.start(request, false)?;
        Counters::add(&self.inner.counters.streams, 1);
        Ok(Opened { stream, reused })
    }

    /// Makes a request whose answer is short.
    pub(crate) async fn call(
        &self,
        method: Method,
        addr: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Response<Bytes>> {
        let request = request(method, addr, path)?;
        let (connection, _) = self.connection(addr, false).await?;
        let answer = unary::call(connection, request, body);
        timeout(self.inner.limits.response_timeout, answer)
            .await
            .map_err(|_| Error::Timeout)?
    }

    /// A connection with a free stream, and whether it was kept from earlier.
    async fn connection(
        &self,
        addr: SocketAddr,
        new_connection: bool,
    ) -> Result<(Connection, bool)> {
        let endpoint = self.endpoints().entry(addr).or_default().clone();
        if !new_connection && let Some(found) = endpoint.reserve_stream() {
            return Ok((found, true));
        }
        let failures = endpoint.failures.load(Ordering::Relaxed);
        let _connecting = endpoint.connecting.lock().await;
        // Those that waited for a connection share its failure; each trying in turn would make the
        // last one wait for all their time limits.
        if endpoint.failures.load(Ordering::Relaxed) != failures {
            return Err(Error::Connect);
        }
        if !new_connection && let Some(found) = endpoint.reserve_stream() {
            return Ok((found, true));
        }
        if endpoint.lock().len() >= self.inner.limits.max_connections {
            return Err(Error::Full);
        }
        let made = Connection::connect(addr, &self.inner.limits).await;
        let counters = &self.inner.counters;
        let count = if made.is_ok() {
            &counters.connects
        } else {
            &counters.connect_failures
        };
        Counters::add(count, 1);
        if made.is_err() {
            Counters::add(&endpoint.failures, 1);
        }
        let made = made?;
        let reserved = made.reserve().ok_or(Error::Full)?;
        endpoint.lock().push(made);
        Ok((reserved, false))
    }

    fn endpoints(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<Endpoint>>> {
        self.inner
            .endpoints
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Endpoint {
    /// Reserves a stream on an open connection; drops the ones that ended.
    fn reserve_stream(&self) -> Option<Connection> {
        let mut connections = self.lock();
        connections.retain(|c| !c.is_finished());
        connections.iter().find_map(Connection::reserve)
    }
}

fn request(method: Method, addr: SocketAddr, path: &str) -> Result<Request<()>> {
    let uri = Uri::builder()
        .scheme("http")
        .authority(addr.to_string())
        .path_and_query(path)
        .build()
        .map_err(|_| Error::Format)?;
    Request::builder()
        .method(method)
        .uri(uri)
        .version(Version::HTTP_2)
        .body(())
        .map_err(|_| Error::Format)
}
