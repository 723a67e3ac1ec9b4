//! Routes: one queue of frames and one task for each peer that this node sends to.

use crate::conn::{self, CloseReason, Conn};
use crate::dial;
use crate::error::{Error, Result};
use crate::peer::{Inbound, Link};
use bytes::Bytes;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{mpsc, oneshot};

/// Maximum number of times that a frame is sent: once over the existing connection and once over a
/// new one.
const MAX_SEND_ATTEMPTS: u8 = 2;

/// A frame to send, or one that was sent and is not confirmed yet.
#[derive(Debug)]
pub(crate) struct Outgoing {
    /// The encoded frame, without length prefix and MAC.
    pub(crate) bytes: Bytes,
    /// Times that the frame was sent. While a ping is open, `conn` also sets the bit
    /// `PING_COVERS_FRAME` in it.
    pub(crate) attempts: u8,
    /// Dropped with the frame, which ends its [`Delivery`](crate::peer::Delivery).
    pub(crate) _delivery: Option<oneshot::Sender<()>>,
}

/// The routes of a link, by the address that the peer listens on.
#[derive(Default)]
pub(crate) struct Routes {
    table: Mutex<Table>,
}

#[derive(Default)]
struct Table {
    routes: HashMap<SocketAddr, Route>,
    /// Counts uses of routes; orders them by last use and numbers new ones.
    clock: u64,
}

/// The table's side of a route, whose [`Task`] sends the frames.
struct Route {
    /// Distinguishes the route from earlier and later ones to the same peer.
    id: u64,
    /// Value of the table's clock when the route was last used.
    last_used: u64,
    queue: mpsc::Sender<Outgoing>,
}

impl Routes {
    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of routes.
    pub(crate) fn len(&self) -> usize {
        self.table().routes.len()
    }

    /// Queues a frame, on a new route if there is none or its task has ended.
    pub(crate) fn push(&self, link: &Link, to: SocketAddr, frame: Outgoing) -> Result<()> {
        let mut table = self.table();
        table.clock += 1;
        let clock = table.clock;
        let frame = match table.routes.get_mut(&to) {
            Some(route) => {
                route.last_used = clock;
                match route.queue.try_send(frame) {
                    Ok(()) => return Ok(()),
                    Err(TrySendError::Full(_)) => return Err(Error::QueueFull),
                    Err(TrySendError::Closed(frame)) => frame,
                }
            }
            None => frame,
        };
        let (task, queue) = table.open(link, to);
        tokio::spawn(task.run());
        queue.try_send(frame).map_err(|_| Error::QueueFull)
    }

    /// Serves a connection that a peer opened. If there is no route to the peer, the connection
    /// becomes it, so that responses don't need a connection in the other direction.
    pub(crate) async fn serve(&self, link: &Link, conn: Conn) {
        let addr = conn.peer;
        let has_route = self.table().routes.contains_key(&addr);
        if has_route {
            let (_queue_sender, mut queue) = mpsc::channel(1);
            conn.run(link, &mut queue, VecDeque::new()).await;
            return;
        }
        let (mut task, _) = self.table().open(link, addr);
        match task.run_conn(conn).await {
            true => task.close(),
            false => drop(tokio::spawn(task.run())),
        }
    }

    /// Removes a route unless it was evicted. Returns whether there is no other route to the peer.
    fn remove(&self, addr: SocketAddr, id: u64) -> bool {
        let mut table = self.table();
        if table.routes.get(&addr).is_some_and(|r| r.id == id) {
            table.routes.remove(&addr);
        }
        !table.routes.contains_key(&addr)
    }
}

impl Table {
    /// Adds a route; the caller runs its task.
    fn open(&mut self, link: &Link, addr: SocketAddr) -> (Task, mpsc::Sender<Outgoing>) {
        self.evict(link.shared.limits.max_routes);
        let (queue, frames) = mpsc::channel(link.shared.limits.queue_capacity);
        self.clock += 1;
        let id = self.clock;
        let route = Route {
            id,
            last_used: id,
            queue: queue.clone(),
        };
        self.routes.insert(addr, route);
        (
            Task {
                link: link.clone(),
                addr,
                id,
                frames,
                to_resend: VecDeque::new(),
            },
            queue,
        )
    }

    /// Evicts the least recently used routes until there is space for one more within
    /// `max_routes`. The task of an evicted route ends once its frames are confirmed.
    fn evict(&mut self, max_routes: usize) {
        while self.routes.len() >= max_routes.max(1) {
            let least_used = self
                .routes
                .iter()
                .min_by_key(|(_, r)| r.last_used)
                .map(|(a, _)| *a);
            if least_used.and_then(|a| self.routes.remove(&a)).is_none() {
                return;
            }
        }
    }
}

/// The task of one route, which opens connections and sends the queued frames.
struct Task {
    link: Link,
    addr: SocketAddr,
    id: u64,
    frames: mpsc::Receiver<Outgoing>,
    /// Frames that the last connection may not have delivered.
    to_resend: VecDeque<conn::Unconfirmed>,
}

impl Task {
    /// Opens connections to the peer, one after another, while frames are left to send or a call to
    /// the peer lost its connection.
    async fn run(mut self) {
        loop {
            let Ok(conn) = dial::dial(&self.link, self.addr).await else {
                return self.fail().await;
            };
            if self.run_conn(conn).await {
                return self.close();
            }
        }
    }

    /// Runs one connection until it ends. Returns whether the route is done.
    async fn run_conn(&mut self, conn: Conn) -> bool {
        let to_resend = std::mem::take(&mut self.to_resend);
        let (reason, unconfirmed) = conn.run(&self.link, &mut self.frames, to_resend).await;
        self.to_resend = self.retryable(unconfirmed);
        // A live peer also closes connections, for instance to bound its routes, and responds over
        // another one. Only a new connection shows whether the peer is reachable.
        let awaits_response =
            reason == CloseReason::Closed && self.link.has_pending_call(self.addr);
        let done = self.to_resend.is_empty() && self.frames.is_empty() && !awaits_response;
        done || reason == CloseReason::ProtocolError || self.is_stopped()
    }

    /// Removes the route, fails the calls to the peer and reports it as unreachable, unless there is
    /// another route to it. This happens only if a new connection fails; the end of an existing
    /// connection is not reported, since the peer may still be reachable.
    async fn fail(self) {
        let is_last = self.link.shared.routes.remove(self.addr, self.id);
        if self.is_stopped() {
            return;
        }
        let lost = self.to_resend.len() + self.frames.len();
        self.link.shared.counters.lost.add(lost as u64);
        if !is_last {
            return;
        }
        self.link.shared.counters.unreached.add(1);
        self.link.fail_calls(self.addr);
        let _ = self
            .link
            .shared
            .inbound
            .send(Inbound::ConnectFailed(self.addr))
            .await;
    }

    /// Removes the route, then queues the frames that arrived in the meantime on a new one.
    fn close(mut self) {
        let routes = &self.link.shared.routes;
        routes.remove(self.addr, self.id);
        self.frames.close();
        if self.is_stopped() {
            return;
        }
        while let Ok(frame) = self.frames.try_recv() {
            let _ = routes.push(&self.link, self.addr, frame);
        }
    }

    fn is_stopped(&self) -> bool {
        self.link.shared.cancel.is_cancelled()
    }

    /// Returns the frames that may be sent again, and counts the others as lost.
    fn retryable(&self, unconfirmed: VecDeque<conn::Unconfirmed>) -> VecDeque<conn::Unconfirmed> {
        let count = unconfirmed.len();
        let retryable: VecDeque<_> = unconfirmed
            .into_iter()
            .filter(|f| f.attempts < MAX_SEND_ATTEMPTS)
            .collect();
        let lost = count - retryable.len();
        self.link.shared.counters.lost.add(lost as u64);
        retryable
    }
}
