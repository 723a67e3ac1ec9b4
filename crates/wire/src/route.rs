//! Routes: one queue and one task per peer that is sent to.

use crate::conn::{self, CloseReason, Conn};
use crate::dial;
use crate::error::{Error, Result};
use crate::peer::{Inbound, Link};
use bytes::Bytes;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;
use tokio_util::sync::CancellationToken;

/// Connections that a frame is sent over at most: the one at hand and a new one.
const MAX_SEND_ATTEMPTS: u8 = 2;

/// A frame to send.
#[derive(Clone, Debug)]
pub(crate) struct Outgoing {
    pub(crate) bytes: Bytes,
    pub(crate) attempts: u8,
}

/// Routes by the peer's listening address.
#[derive(Default)]
pub(crate) struct Routes {
    table: Mutex<Table>,
}

#[derive(Default)]
struct Table {
    routes: HashMap<SocketAddr, Route>,
    clock: u64,
}

struct Route {
    id: u64,
    last_used: u64,
    queue: mpsc::Sender<Outgoing>,
    stop: CancellationToken,
}

impl Routes {
    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn len(&self) -> usize {
        self.table().routes.len()
    }

    /// Queues a frame, over a new route if there is none.
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
        let (task, queue) = table.open(link, to, None);
        tokio::spawn(task.run());
        queue.try_send(frame).map_err(|_| Error::QueueFull)
    }

    /// Serves a connection that a peer opened; it becomes the route to that peer if there is
    /// none, so that answers need no connection of their own.
    pub(crate) async fn serve(&self, link: &Link, conn: Conn) {
        let addr = conn.peer;
        let has_route = self.table().routes.contains_key(&addr);
        if has_route {
            let (_queue_sender, mut queue) = mpsc::channel(1);
            conn.run(link, &mut queue, VecDeque::new(), &CancellationToken::new())
                .await;
            return;
        }
        let (task, _) = self.table().open(link, addr, Some(conn));
        task.run().await;
    }

    fn remove(&self, addr: SocketAddr, id: u64) {
        let mut table = self.table();
        if table.routes.get(&addr).is_some_and(|r| r.id == id) {
            table.routes.remove(&addr);
        }
    }
}

impl Table {
    fn open(
        &mut self,
        link: &Link,
        addr: SocketAddr,
        conn: Option<Conn>,
    ) -> (Task, mpsc::Sender<Outgoing>) {
        self.evict(link.shared.limits.max_routes);
        let (queue, frames) = mpsc::channel(link.shared.limits.queue_capacity);
        self.clock += 1;
        let id = self.clock;
        let stop = link.shared.cancel.child_token();
        let route = Route {
            id,
            last_used: id,
            queue: queue.clone(),
            stop: stop.clone(),
        };
        self.routes.insert(addr, route);
        (
            Task {
                link: link.clone(),
                addr,
                id,
                frames,
                stop,
                conn,
            },
            queue,
        )
    }

    /// Closes the least used routes, so that their number is bounded.
    fn evict(&mut self, max_routes: usize) {
        while self.routes.len() >= max_routes.max(1) {
            let least_used = self
                .routes
                .iter()
                .min_by_key(|(_, r)| r.last_used)
                .map(|(a, _)| *a);
            let Some(route) = least_used.and_then(|a| self.routes.remove(&a)) else {
                return;
            };
            route.stop.cancel();
        }
    }
}

/// The task of one route.
struct Task {
    link: Link,
    addr: SocketAddr,
    id: u64,
    frames: mpsc::Receiver<Outgoing>,
    stop: CancellationToken,
    conn: Option<Conn>,
}

impl Task {
    /// Runs connections to the peer, one after another, while there is something to send.
    async fn run(mut self) {
        let mut to_resend = VecDeque::new();
        loop {
            let conn = match self.conn.take() {
                Some(conn) => conn,
                None => match dial::dial(&self.link, self.addr, &self.stop).await {
                    Ok(conn) => conn,
                    Err(_) => return self.fail().await,
                },
            };
            let (reason, unconfirmed) = conn
                .run(&self.link, &mut self.frames, to_resend, &self.stop)
                .await;
            to_resend = retryable(unconfirmed);
            // A peer that lives closes connections too, and answers over another one. Whether it lives
            // shows when a new one is opened.
            let awaits_response =
                reason == CloseReason::Closed && self.link.has_pending_call(self.addr);
            let done = to_resend.is_empty() && self.frames.is_empty() && !awaits_response;
            if done || reason == CloseReason::ProtocolError || self.stop.is_cancelled() {
                return self.close();
            }
        }
    }

    /// The peer answers on no new connection either: that is worth telling, while the end of an
    /// old connection is not.
    async fn fail(self) {
        self.link.shared.routes.remove(self.addr, self.id);
        if self.stop.is_cancelled() {
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

    /// Takes the route away, then passes on what was queued in between.
    fn close(mut self) {
        let routes = &self.link.shared.routes;
        routes.remove(self.addr, self.id);
        self.frames.close();
        if self.link.shared.cancel.is_cancelled() {
            return;
        }
        while let Ok(frame) = self.frames.try_recv() {
            let _ = routes.push(&self.link, self.addr, frame);
        }
    }
}

fn retryable(unconfirmed: VecDeque<conn::Unconfirmed>) -> VecDeque<conn::Unconfirmed> {
    unconfirmed
        .into_iter()
        .filter(|f| f.attempts < MAX_SEND_ATTEMPTS)
        .collect()
}
