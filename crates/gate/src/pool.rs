//! Pool of keep-alive HTTP/1.1 connections to endpoints. Each connection carries one request at a
//! time.
//!
//! An endpoint may send a response a second time, late, in the place of the next response on the
//! connection. The request's id tells such a copy from the response to another request, but not from the
//! response to a later sending of the same one. So a connection never carries the same request twice, and a
//! request without an id has a connection of its own.

use crate::stats::{self, Stats};
use http::header::CONNECTION;
use http::{HeaderMap, Request, Response, Version};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use memory::content::ContentBody;
use response::connection::{self, Opened, Options};
use response::ending;
use response::head::{Head, Invalid};
use response::meter::{self, Allowance, Meter};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout};
use xxhash_rust::xxh3::xxh3_64;

/// Timeout for establishing a connection; covers a few round trips and one retransmission.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// `TCP_USER_TIMEOUT` of connections to endpoints. Without it a connection to an instance that lost
/// power would hang for minutes.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(2);
/// How long an idle connection may be reused if the endpoint does not announce its own idle
/// timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Fraction of the endpoint's idle timeout after which a connection is no longer reused. A request
/// that is sent while the endpoint closes the connection is lost, and it is unknown whether it was
/// executed.
const IDLE_TIMEOUT_FRACTION: f64 = 0.6;
/// Bounds of a connection. The buffer bounds a response head, and what is read at once of a body; an endpoint
/// may send a head without end on each of its connections.
const OPTIONS: Options = Options {
    buffer_bytes: 16 << 10,
    receive_buffer_bytes: 32 << 10,
    user_timeout: Some(TCP_USER_TIMEOUT),
    allowance: Allowance {
        head: 128 << 10,
        body: 4 << 20,
    },
};
/// Maximum number of idle connections to one endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 64;
/// Number of requests after which a connection is closed. It limits the memory for their ids to 8 KiB a
/// connection; a new one costs little beside so many requests.
const MAX_REQUESTS: usize = 1024;

/// Why no response head was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The endpoint refused or reset a new connection; nothing was sent.
    Refused,
    /// No connection was established before the timeout; nothing was sent.
    Unreachable,
    /// The connection was closed before the request was sent.
    Unsent,
    /// The connection broke or the response was malformed; the request may have been executed.
    Broken,
    /// What was received is no response; the request may have been executed.
    Invalid(Invalid),
    /// The response took more work than it brought; the request may have been executed.
    Exhausted,
}

impl Error {
    /// Returns whether the request may have reached the other side and have been executed.
    pub fn may_have_run(self) -> bool {
        match self {
            Self::Refused | Self::Unreachable | Self::Unsent => false,
            Self::Broken | Self::Invalid(_) | Self::Exhausted => true,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Refused => "no connection: refused",
            Self::Unreachable => "no connection before the timeout",
            Self::Unsent => "connection closed before the request was sent",
            Self::Broken => "connection broke",
            Self::Invalid(invalid) => return invalid.fmt(f),
            Self::Exhausted => return meter::Exhausted.fmt(f),
        })
    }
}

impl std::error::Error for Error {}

/// Result of sending a request.
pub type Result<T> = std::result::Result<T, Error>;

/// A response whose head was received and checked.
#[derive(Debug)]
pub struct Received {
    /// What was found in the head.
    pub head: Head,
    /// The response. Its version is that of this side, since it concerns a single connection.
    pub response: Response<Incoming>,
}

impl TryFrom<Response<Incoming>> for Received {
    type Error = Invalid;

    fn try_from(mut response: Response<Incoming>) -> std::result::Result<Self, Invalid> {
        let head = Head::try_from(&response)?;
        *response.version_mut() = Version::HTTP_11;
        Ok(Self { head, response })
    }
}

/// Number of a connection, from 1 in the order in which a worker opened them.
pub type ConnId = u64;

/// Hash of a request's id.
type IdHash = u64;

/// A connection that is in use. Dropping it closes it, whereupon the endpoint cancels the request.
#[derive(Debug)]
pub struct Conn {
    id: ConnId,
    sender: SendRequest<ContentBody>,
    meter: Meter,
    addr: SocketAddr,
    opened_at: Instant,
    /// The requests that it was handed out for, at most [`MAX_REQUESTS`].
    carried: Vec<IdHash>,
    /// Whether all of them have ids.
    has_ids: bool,
    /// How long the connection may be idle and still be reused.
    idle_timeout: Duration,
}

#[derive(Debug)]
struct IdleConn {
    conn: Conn,
    idle_since: Instant,
}

/// The connections of one worker.
#[derive(Debug)]
pub struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConn>>>,
    /// Times up to which connections were opened that are not reused.
    retired: RefCell<HashMap<SocketAddr, Instant>>,
    /// Number of the last connection that was opened.
    last_id: Cell<ConnId>,
    stats: Rc<Stats>,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(stats: Rc<Stats>) -> Self {
        Self {
            idle: RefCell::default(),
            retired: RefCell::default(),
            last_id: Cell::new(0),
            stats,
        }
    }

    /// Returns a connection to `addr` for one sending of the request `id`: an idle one that is still open
    /// and has not carried this request, or a new one. A request without an id gets a new one.
    pub async fn get(&self, addr: SocketAddr, id: Option<&str>) -> Result<Conn> {
        let request = xxh3_64(id.unwrap_or_default().as_bytes());
        let idle = id.and_then(|_| self.take_idle(addr, request));
        let mut conn = match idle {
            Some(conn) => conn,
            None => self.open(addr).await?,
        };
        conn.carried.push(request);
        conn.has_ids = id.is_some();
        Ok(conn)
    }

    async fn open(&self, addr: SocketAddr) -> Result<Conn> {
        stats::increment(&self.stats.connects);
        let connected = timeout(CONNECT_TIMEOUT, connection::connect(addr, &OPTIONS)).await;
        let opened = connected.map_err(|_| Error::Unreachable)?;
        let Opened {
            sender,
            driver,
            meter,
        } = opened.map_err(|_| Error::Refused)?;
        // Errors of the connection are returned to the request that uses it.
        tokio::task::spawn_local(async move {
            let _ = driver.await;
        });
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        Ok(Conn {
            id,
            sender,
            meter,
            addr,
            opened_at: Instant::now(),
            carried: Vec::new(),
            has_ids: true,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
        })
    }

    fn take_idle(&self, addr: SocketAddr, request: IdHash) -> Option<Conn> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&addr)?;
        loop {
            let fresh = |i: &IdleConn| !i.conn.carried.contains(&request);
            let IdleConn { conn, idle_since } = list.remove(list.iter().rposition(fresh)?);
            if conn.sender.is_ready() && idle_since.elapsed() < conn.idle_timeout {
                return Some(conn);
            }
        }
    }

    /// Returns a connection to the pool after its response was read completely. A connection that
    /// the endpoint closes after this response, by its headers, that was retired meanwhile, that has carried
    /// its last request or one without an id is closed.
    pub fn put(&self, mut conn: Conn, headers: &HeaderMap, idle_timeout: Option<Duration>) {
        let is_spent = conn.carried.len() >= MAX_REQUESTS || !conn.has_ids;
        if is_spent || closes_connection(headers) {
            return;
        }
        conn.idle_timeout =
            idle_timeout.map_or(DEFAULT_IDLE_TIMEOUT, |i| i.mul_f64(IDLE_TIMEOUT_FRACTION));
        self.keep(conn);
    }

    fn keep(&self, conn: Conn) {
        let retired = self.retired.borrow().get(&conn.addr).copied();
        if retired.is_some_and(|at| conn.opened_at <= at) {
            return;
        }
        let idle_since = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(conn.addr).or_default();
        if list.len() < MAX_IDLE_PER_ENDPOINT {
            list.push(IdleConn { conn, idle_since });
        }
    }

    /// Returns whether an endpoint keeps a new connection open, which one that is ending does not. The
    /// connection is then kept for a later request.
    pub(crate) async fn is_alive(&self, addr: SocketAddr) -> bool {
        let Ok(conn) = self.open(addr).await else {
            return false;
        };
        let is_alive = ending::stays_open(&conn.sender).await;
        if is_alive {
            self.keep(conn);
        }
        is_alive
    }

    /// Closes connections that exceeded their idle timeout, and all connections to addresses for
    /// which `known` is false.
    pub fn prune(&self, known: impl Fn(SocketAddr) -> bool) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|addr, list| {
            list.retain(|i| {
                i.idle_since.elapsed() < i.conn.idle_timeout && !i.conn.sender.is_closed()
            });
            !list.is_empty() && known(*addr)
        });
        self.retired.borrow_mut().retain(|addr, _| known(*addr));
    }

    /// Closes the idle connections to an endpoint, and those in use once they are idle. Connections
    /// that are opened later are kept: another run may use the address.
    pub fn retire(&self, addr: SocketAddr) {
        self.close_idle(addr);
        self.retired.borrow_mut().insert(addr, Instant::now());
    }

    /// Closes the idle connections to an endpoint, after a failure.
    pub fn close_idle(&self, addr: SocketAddr) {
        self.idle.borrow_mut().remove(&addr);
    }
}

impl Conn {
    /// Returns its number.
    pub fn id(&self) -> ConnId {
        self.id
    }

    /// Returns the position of its current request among those that it carried, from 1.
    pub fn request_number(&self) -> usize {
        self.carried.len()
    }

    /// Returns the bound on the work for its responses.
    pub(crate) fn meter(&self) -> &Meter {
        &self.meter
    }

    /// Sends a request and waits for the head of the response.
    pub async fn send(&mut self, request: Request<ContentBody>) -> Result<Received> {
        self.meter.begin();
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                self.meter.begin_body();
                Received::try_from(response).map_err(Error::Invalid)
            }
            Err(mut error) => match error.take_message() {
                Some(_) => Err(Error::Unsent),
                None if self.meter.is_exhausted() => Err(Error::Exhausted),
                None => Err(Error::Broken),
            },
        }
    }
}

/// Returns whether the endpoint closes the connection after its response.
pub(crate) fn closes_connection(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION).iter();
    let mut values = values.filter_map(|v| v.to_str().ok());
    values.any(|v| v.to_ascii_lowercase().contains("close"))
}
