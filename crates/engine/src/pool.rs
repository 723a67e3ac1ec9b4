//! HTTP/2 connections to endpoints, by prior knowledge, kept open between requests.

mod connection;
mod unary;

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
    pub connect: Duration,
    /// Streams on one connection.
    pub streams: u32,
    /// Connections to one endpoint.
    pub connections: usize,
    /// Bytes that one stream may have under way to this node.
    pub window: u32,
    /// Longest time for an answer to a load question or an order.
    pub answer: Duration,
    /// A connection without streams is closed after one to two times this.
    pub idle: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connect: Duration::from_secs(1),
            streams: 256,
            connections: 8,
            window: 256 << 10,
            answer: Duration::from_secs(2),
            idle: Duration::from_secs(60),
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
    Late,
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
            Self::Late => f.write_str("no answer in time"),
            Self::Status(status) => write!(f, "status {status}"),
            Self::Format => f.write_str("answer is not of its format"),
        }
    }
}

impl std::error::Error for Error {}

/// Result of a pool's requests.
pub type Result<T> = std::result::Result<T, Error>;

/// Counts since the pool was made.
#[derive(Debug, Default)]
pub struct Counters {
    /// Connections made.
    pub connects: AtomicU64,
    /// Connections that could not be made.
    pub connect_failures: AtomicU64,
    /// Streams opened.
    pub streams: AtomicU64,
    /// Opens sent again on a fresh connection, since a kept one had gone.
    pub reopens: AtomicU64,
    /// Frames of ended attempts that were dropped.
    pub stale_frames: AtomicU64,
    /// Steps run.
    pub steps: AtomicU64,
    /// Bytes of payload relayed.
    pub relayed: AtomicU64,
}

impl Counters {
    pub(crate) fn add(counter: &AtomicU64, n: u64) {
        counter.fetch_add(n, Ordering::Relaxed);
    }
}

/// Connections of one worker thread; clones share them.
#[derive(Clone, Debug)]
pub struct Pool {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    limits: Limits,
    hosts: Mutex<HashMap<SocketAddr, Arc<Host>>>,
    idle: crate::service::Idle,
    counters: Counters,
}

/// Connections to one endpoint.
#[derive(Debug, Default)]
struct Host {
    connections: Mutex<Vec<Connection>>,
    /// Held while a connection is made, so that a burst of requests makes one and not one each.
    dial: tokio::sync::Mutex<()>,
    /// Connections that could not be made.
    failures: AtomicU64,
}

impl Host {
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

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let get = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        writeln!(f, "connects {}", get(&self.connects))?;
        writeln!(f, "connect_failures {}", get(&self.connect_failures))?;
        writeln!(f, "streams {}", get(&self.streams))?;
        writeln!(f, "reopens {}", get(&self.reopens))?;
        writeln!(f, "stale_frames {}", get(&self.stale_frames))?;
        writeln!(f, "steps {}", get(&self.steps))?;
        writeln!(f, "relayed {}", get(&self.relayed))
    }
}

/// The text for the dump: counts, then a line for each endpoint, by address.
impl fmt::Display for Pool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.inner.counters)?;
        let hosts: BTreeMap<_, _> = self.hosts().iter().map(|(a, h)| (*a, h.clone())).collect();
        for (addr, host) in hosts {
            let connections = host.lock();
            let running = connections.iter().map(|c| c.running(&self.inner.limits));
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
            hosts: Mutex::default(),
            idle: crate::service::Idle::default(),
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

    pub(crate) fn idle(&self) -> &crate::service::Idle {
        &self.inner.idle
    }

    /// Drops the connections to an endpoint: they went silent. Streams on them end as reset.
    pub fn forget(&self, addr: SocketAddr) {
        self.hosts().remove(&addr);
        self.inner.idle.forget(addr);
    }

    /// Whether the endpoint answers `GET /health` with success on a new connection.
    pub async fn probe(&self, addr: SocketAddr, limit: Duration) -> bool {
        timeout(limit, unary::probe(addr, &self.inner.limits))
            .await
            .unwrap_or(false)
    }

    /// Connections kept to an endpoint.
    pub fn connections(&self, addr: SocketAddr) -> usize {
        let host = self.hosts().get(&addr).cloned();
        host.map_or(0, |host| host.lock().iter().filter(|c| c.is_open()).count())
    }

    /// Opens a stream with a request whose body is still to be sent.
    pub(crate) async fn open(&self, addr: SocketAddr, path: &str, fresh: bool) -> Result<Opened> {
        let request = request(Method::POST, addr, path)?;
        let (connection, reused) = self.connection(addr, fresh).await?;
        let stream = connection.start(request, false)?;
        Counters::add(&self.inner.counters.streams, 1);
        Ok(Opened { stream, reused })
    }

    /// Makes a request whose answer is short.
    pub(crate) async fn ask(
        &self,
        method: Method,
        addr: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Response<Bytes>> {
        let request = request(method, addr, path)?;
        let (connection, _) = self.connection(addr, false).await?;
        let answer = unary::ask(connection, request, body);
        timeout(self.inner.limits.answer, answer)
            .await
            .map_err(|_| Error::Late)?
    }

    /// A connection with a free stream, and whether it was kept from earlier.
    async fn connection(&self, addr: SocketAddr, fresh: bool) -> Result<(Connection, bool)> {
        let host = self.hosts().entry(addr).or_default().clone();
        if !fresh && let Some(found) = host.find() {
            return Ok((found, true));
        }
        let failures = host.failures.load(Ordering::Relaxed);
        let _dial = host.dial.lock().await;
        // Those that waited for a connection share its failure; each trying in turn would make the
        // last one wait for all their time limits.
        if host.failures.load(Ordering::Relaxed) != failures {
            return Err(Error::Connect);
        }
        if !fresh && let Some(found) = host.find() {
            return Ok((found, true));
        }
        if host.lock().len() >= self.inner.limits.connections {
            return Err(Error::Full);
        }
        let made = Connection::make(addr, &self.inner.limits).await;
        let counters = &self.inner.counters;
        let count = if made.is_ok() {
            &counters.connects
        } else {
            &counters.connect_failures
        };
        Counters::add(count, 1);
        if made.is_err() {
            Counters::add(&host.failures, 1);
        }
        let made = made?;
        let taken = made.reserve().ok_or(Error::Full)?;
        host.lock().push(made);
        Ok((taken, false))
    }

    fn hosts(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<Host>>> {
        self.inner
            .hosts
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Host {
    /// Reserves a stream on an open connection; drops the ones that ended.
    fn find(&self) -> Option<Connection> {
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
