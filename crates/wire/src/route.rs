//! Routes: one queue and one task per peer that is sent to.

use crate::conn::{self, Conn, End};
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
const TRIES: u8 = 2;

/// A frame to send.
#[derive(Clone, Debug)]
pub(crate) struct Outgoing {
    pub(crate) bytes: Bytes,
    pub(crate) tries: u8,
}

/// Routes by the peer's listening address.
#[derive(Default)]
pub(crate) struct Routes {
    table: Mutex<Table>,
}

#[derive(Default)]
struct Table {
    rows: HashMap<SocketAddr, Row>,
    clock: u64,
}

struct Row {
    number: u64,
    used: u64,
    queue: mpsc::Sender<Outgoing>,
    stop: CancellationToken,
}

impl Routes {
    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn len(&self) -> usize {
        self.table().rows.len()
    }

    /// Queues a frame, over a new route if there is none.
    pub(crate) fn push(&self, link: &Link, to: SocketAddr, frame: Outgoing) -> Result<()> {
        let mut table = self.table();
        table.clock += 1;
        let clock = table.clock;
        let frame = match table.rows.get_mut(&to) {
            Some(row) => {
                row.used = clock;
                match row.queue.try_send(frame) {
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
        let busy = self.table().rows.contains_key(&addr);
        if busy {
            let (_hold, mut queue) = mpsc::channel(1);
            conn.run(link, &mut queue, VecDeque::new(), &CancellationToken::new())
                .await;
            return;
        }
        let (task, _) = self.table().open(link, addr, Some(conn));
        task.run().await;
    }

    fn remove(&self, addr: SocketAddr, number: u64) {
        let mut table = self.table();
        if table.rows.get(&addr).is_some_and(|r| r.number == number) {
            table.rows.remove(&addr);
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
        let number = self.clock;
        let stop = link.shared.cancel.child_token();
        let row = Row {
            number,
            used: number,
            queue: queue.clone(),
            stop: stop.clone(),
        };
        self.rows.insert(addr, row);
        (
            Task {
                link: link.clone(),
                addr,
                number,
                frames,
                stop,
                conn,
            },
            queue,
        )
    }

    /// Closes the least used routes, so that their number is bounded.
    fn evict(&mut self, most: usize) {
        while self.rows.len() >= most.max(1) {
            let oldest = self
                .rows
                .iter()
                .min_by_key(|(_, r)| r.used)
                .map(|(a, _)| *a);
            let Some(row) = oldest.and_then(|a| self.rows.remove(&a)) else {
                return;
            };
            row.stop.cancel();
        }
    }
}

/// The task of one route.
struct Task {
    link: Link,
    addr: SocketAddr,
    number: u64,
    frames: mpsc::Receiver<Outgoing>,
    stop: CancellationToken,
    conn: Option<Conn>,
}

impl Task {
    /// Runs connections to the peer, one after another, while there is something to send.
    async fn run(mut self) {
        let mut unsent = VecDeque::new();
        loop {
            let conn = match self.conn.take() {
                Some(conn) => conn,
                None => match dial::dial(&self.link, self.addr, &self.stop).await {
                    Ok(conn) => conn,
                    Err(_) => return self.fail().await,
                },
            };
            let (end, left) = conn
                .run(&self.link, &mut self.frames, unsent, &self.stop)
                .await;
            unsent = retry(left);
            // A peer that lives closes connections too, and answers over another one. Whether it lives
            // shows when a new one is opened.
            let awaits = end == End::Closed && self.link.has_pending_call(self.addr);
            let done = unsent.is_empty() && self.frames.is_empty() && !awaits;
            if done || end == End::Refused || self.stop.is_cancelled() {
                return self.close();
            }
        }
    }

    /// The peer answers on no new connection either: that is worth telling, while the end of an
    /// old connection is not.
    async fn fail(self) {
        self.link.shared.routes.remove(self.addr, self.number);
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
        routes.remove(self.addr, self.number);
        self.frames.close();
        if self.link.shared.cancel.is_cancelled() {
            return;
        }
        while let Ok(frame) = self.frames.try_recv() {
            let _ = routes.push(&self.link, self.addr, frame);
        }
    }
}

fn retry(left: VecDeque<conn::Unsent>) -> VecDeque<conn::Unsent> {
    left.into_iter().filter(|f| f.tries < TRIES).collect()
}
