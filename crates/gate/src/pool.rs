//! Connections to endpoints, kept open between requests; each carries one request at a time.

use crate::stats::{self, Stats};
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

/// Longest time to make a connection: a few round trips, and one lost packet at the most.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which the kernel gives a connection up whose data is not confirmed. Without it a
/// connection to an instance that lost power would hang for minutes.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(2);
/// How long an idle connection is used again if the endpoint does not say how long it keeps it.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Part of the endpoint's idle time after which a connection is not used again: what is sent
/// while the endpoint closes is lost, and may or may not have run.
const IDLE_TIMEOUT_FRACTION: f64 = 0.6;
/// Idle connections kept to one endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 64;

/// Why a request got no answer's head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// No connection: nothing was sent.
    Connect,
    /// The connection ended before anything was sent.
    Unsent,
    /// The connection broke, or what came was no answer: the request may have run.
    Broken,
}

/// Result of sending a request.
pub type Result<T> = std::result::Result<T, Error>;

/// A connection that carries a request. Dropped, it closes; the endpoint then drops the request.
#[derive(Debug)]
pub struct Conn {
    sender: SendRequest<Full<Bytes>>,
    addr: SocketAddr,
    /// How long it may stay idle and still be used.
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
    stats: Rc<Stats>,
}

impl Pool {
    /// An empty pool.
    pub fn new(stats: Rc<Stats>) -> Self {
        Self {
            idle: RefCell::default(),
            stats,
        }
    }

    /// A connection to `addr`: a kept one that is still open, or a new one.
    pub async fn get(&self, addr: SocketAddr) -> Result<Conn> {
        if let Some(conn) = self.take_idle(addr) {
            return Ok(conn);
        }
        stats::increment(&self.stats.connects);
        let connected = timeout(CONNECT_TIMEOUT, connect(addr)).await;
        connected.unwrap_or(Err(Error::Connect))
    }

    fn take_idle(&self, addr: SocketAddr) -> Option<Conn> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&addr)?;
        while let Some(IdleConn { conn, idle_since }) = list.pop() {
            if conn.sender.is_ready() && idle_since.elapsed() < conn.idle_timeout {
                return Some(conn);
            }
        }
        None
    }

    /// Keeps a connection whose answer was read to its end.
    pub fn put(&self, mut conn: Conn, idle_timeout: Option<Duration>) {
        conn.idle_timeout =
            idle_timeout.map_or(DEFAULT_IDLE_TIMEOUT, |i| i.mul_f64(IDLE_TIMEOUT_FRACTION));
        let idle_since = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(conn.addr).or_default();
        if list.len() < MAX_IDLE_PER_ENDPOINT {
            list.push(IdleConn { conn, idle_since });
        }
    }

    /// Closes connections that were idle for too long, and all to endpoints not in `addrs`.
    pub fn prune(&self, known: impl Fn(SocketAddr) -> bool) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|addr, list| {
            list.retain(|i| {
                i.idle_since.elapsed() < i.conn.idle_timeout && !i.conn.sender.is_closed()
            });
            !list.is_empty() && known(*addr)
        });
    }

    /// Closes the idle connections to an endpoint that failed.
    pub fn close_idle(&self, addr: SocketAddr) {
        self.idle.borrow_mut().remove(&addr);
    }
}

impl Conn {
    /// Sends a request and waits for the head of its answer.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>> {
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(Error::Unsent),
                None => Err(Error::Broken),
            },
        }
    }
}

async fn connect(addr: SocketAddr) -> Result<Conn> {
    let stream = TcpStream::connect(addr).await.map_err(|_| Error::Connect)?;
    // Without these options requests are slower or silence is noticed later; they still work.
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, conn) = handshake.map_err(|_| Error::Connect)?;
    // The connection's own error is told to the request that it carries.
    tokio::task::spawn_local(async move {
        let _ = conn.await;
    });
    Ok(Conn {
        sender,
        addr,
        idle_timeout: DEFAULT_IDLE_TIMEOUT,
    })
}
