//! Pool of HTTP/2 connections to endpoints. The connections use prior knowledge (no upgrade) and
//! stay open between requests.

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

/// Limits of a pool.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time limit for establishing a connection.
    pub connect_timeout: Duration,
    /// Maximum number of concurrent streams on a connection.
    pub max_streams: u32,
    /// Maximum number of connections to an endpoint.
    pub max_connections: usize,
    /// Flow-control window of a stream: maximum number of received bytes that are not consumed yet.
    pub stream_window: u32,
    /// Time limit for the response to a load request or an order.
    pub response_timeout: Duration,
    /// Idle timeout of a connection. A connection without streams is closed after one to two times
    /// this duration.
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

/// Error of a request on a connection of the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// No connection could be established within the time limit.
    Connect,
    /// All connections to the endpoint carry the maximum number of streams.
    Full,
    /// The connection or stream broke.
    Reset,
    /// The endpoint did not respond within the time limit.
    Timeout,
    /// The endpoint responded with this status.
    Status(StatusCode),
    /// The response is too long or malformed, or the request can't be built.
    Format,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect => f.write_str("connection could not be established"),
            Self::Full => f.write_str("all connections are at their stream limit"),
            Self::Reset => f.write_str("connection or stream was reset"),
            Self::Timeout => f.write_str("response timed out"),
            Self::Status(status) => write!(f, "endpoint responded with status {status}"),
            Self::Format => f.write_str("response is malformed or too long"),
        }
    }
}

impl std::error::Error for Error {}

/// Result of a request on a connection of the pool.
pub type Result<T> = std::result::Result<T, Error>;

/// Connections of one worker thread. Clones share them.
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
    /// Held while a connection is established, so that a burst of requests opens one connection
    /// rather than one per request.
    connecting: tokio::sync::Mutex<()>,
    /// Number of failed connection attempts.
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

/// Formats the pool for `/dump`: the counters, then one line per endpoint, sorted by address.
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
            let active = connections
                .iter()
                .map(|c| c.active_streams(&self.inner.limits));
            let (open, streams) = (connections.len(), active.sum::<usize>());
            writeln!(f, "endpoint {addr} connections {open} streams {streams}")?;
        }
        Ok(())
    }
}

/// A request whose stream has been opened on a connection of the pool.
pub(crate) struct Opened {
    pub(crate) stream: Stream,
    /// Whether the connection existed before this request. The peer may have closed such a
    /// connection without this node having noticed.
    pub(crate) reused: bool,
}

impl Pool {
    /// Creates an empty pool.
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

    /// Returns the limits of the pool.
    pub fn limits(&self) -> &Limits {
        &self.inner.limits
    }

    /// Returns the counters of the pool.
    pub fn counters(&self) -> &Counters {
        &self.inner.counters
    }

    /// Returns the idle HTTP/1.1 connections to plain services.
    pub(crate) fn idle(&self) -> &crate::service::IdleConnections {
        &self.inner.idle
    }

    /// Drops the connections to an unresponsive endpoint. Streams on them end with
    /// [`Error::Reset`].
    pub fn drop_connections(&self, addr: SocketAddr) {
        self.endpoints().remove(&addr);
        self.inner.idle.drop_connections(addr);
    }

    /// Returns whether the endpoint answers `GET /health` with success on a new connection within
    /// `limit`.
    pub async fn probe(&self, addr: SocketAddr, limit: Duration) -> bool {
        timeout(limit, unary::probe(addr, &self.inner.limits))
            .await
            .unwrap_or(false)
    }

    /// Returns the number of open connections to an endpoint.
    pub fn connection_count(&self, addr: SocketAddr) -> usize {
        let endpoint = self.endpoints().get(&addr).cloned();
        endpoint.map_or(0, |endpoint| {
            endpoint.lock().iter().filter(|c| c.is_open()).count()
        })
    }

    /// Opens a stream for a POST request. The caller sends the body. Existing connections are not
    /// used if `new_connection` is set.
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

    /// Sends a request and returns its response, whose body has a small size limit.
    pub(crate) async fn call(
        &self,
        method: Method,
        addr: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Response<Bytes>> {
        let request = request(method, addr, path)?;
        let (connection, _) = self.connection(addr, false).await?;
        let response = unary::call(connection, request, body);
        timeout(self.inner.limits.response_timeout, response)
            .await
            .map_err(|_| Error::Timeout)?
    }

    /// Returns a connection with a reserved stream, and whether the connection existed before.
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
        // Requests that waited for the same connection attempt share its failure. If each of them
        // tried in turn, the last one would wait for the sum of their time limits.
        if endpoint.failures.load(Ordering::Relaxed) != failures {
            return Err(Error::Connect);
        }
        if !new_connection && let Some(found) = endpoint.reserve_stream() {
            return Ok((found, true));
        }
        if endpoint.lock().len() >= self.inner.limits.max_connections {
            return Err(Error::Full);
        }
        let connection = Connection::connect(addr, &self.inner.limits).await;
        let counters = &self.inner.counters;
        let count = if connection.is_ok() {
            &counters.connects
        } else {
            &counters.connect_failures
        };
        Counters::add(count, 1);
        if connection.is_err() {
            Counters::add(&endpoint.failures, 1);
        }
        let connection = connection?;
        let reserved = connection.reserve().ok_or(Error::Full)?;
        endpoint.lock().push(connection);
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
    /// Reserves a stream on an open connection, after removing connections that have ended.
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
