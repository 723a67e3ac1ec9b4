//! The link of a node to its peers.

use crate::auth::Key;
use crate::counters::Counters;
use crate::error::{Error, Result};
use crate::frame::{Body, CallId, CopyRequest, Frame, HeadRequest, Kind, Status};
use crate::limits::Limits;
use crate::listen;
use crate::route::{Outgoing, Routes};
use bytes::Bytes;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

/// What comes from peers.
#[derive(Debug)]
pub enum Inbound {
    /// A message for the group.
    Member {
        /// Where its sender listens.
        from: SocketAddr,
        /// The message.
        message: member::Message,
    },
    /// A peer asks for the records that lead to a version.
    Head {
        /// What it wants.
        request: HeadRequest,
        /// Takes the answer.
        reply: Reply<Option<Vec<u8>>>,
    },
    /// A peer asks for the changes of a table.
    Copy {
        /// What it wants.
        request: CopyRequest,
        /// Takes the answer.
        reply: Reply<Option<Vec<u8>>>,
    },
    /// A peer asks what is in force.
    Status {
        /// Takes the answer.
        reply: Reply<Status>,
    },
    /// A new connection to this address failed.
    ConnectFailed(SocketAddr),
}

/// How a link is set up.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Address that peers connect to; the one listened on if nothing.
    pub advertise: Option<SocketAddr>,
    /// The key that all nodes share.
    pub key: Key,
    /// Bounds.
    pub limits: Limits,
}

/// What all tasks of a link share.
pub(crate) struct Shared {
    pub(crate) addr: SocketAddr,
    pub(crate) key: Key,
    pub(crate) limits: Limits,
    pub(crate) counters: Counters,
    pub(crate) inbound: mpsc::Sender<Inbound>,
    pub(crate) cancel: CancellationToken,
    pub(crate) routes: Routes,
    calls: Mutex<HashMap<CallId, PendingCall>>,
    next_call: AtomicU64,
}

/// An ask that waits.
struct PendingCall {
    peer: SocketAddr,
    response: oneshot::Sender<Body>,
}

/// A link; clones share it.
#[derive(Clone)]
pub struct Link {
    pub(crate) shared: Arc<Shared>,
}

impl Link {
    /// Listens, and serves until `cancel`.
    pub async fn start(
        setup: Setup,
        inbound: mpsc::Sender<Inbound>,
        cancel: CancellationToken,
    ) -> Result<Self> {
        let listener = TcpListener::bind(setup.listen).await?;
        let local = listener.local_addr()?;
        let shared = Shared {
            addr: setup.advertise.unwrap_or(local),
            key: setup.key,
            limits: setup.limits,
            counters: Counters::default(),
            inbound,
            cancel,
            routes: Routes::default(),
            calls: Mutex::default(),
            next_call: AtomicU64::new(1),
        };
        let link = Self {
            shared: Arc::new(shared),
        };
        tokio::spawn(listen::run(link.clone(), listener));
        Ok(link)
    }

    /// The address that peers connect to.
    pub fn addr(&self) -> SocketAddr {
        self.shared.addr
    }

    /// Its counters.
    pub fn counters(&self) -> &Counters {
        &self.shared.counters
    }

    /// Peers with an open route.
    pub fn route_count(&self) -> usize {
        self.shared.routes.len()
    }

    /// Sends a message. It is dropped and counted if the queue to that peer is full.
    pub fn send(&self, to: SocketAddr, message: member::Message) -> Result<()> {
        self.enqueue(to, &Frame::send(message))
    }

    /// Asks a peer for the records that lead to a version.
    pub async fn request_head(
        &self,
        to: SocketAddr,
        request: HeadRequest,
    ) -> Result<Option<Vec<u8>>> {
        match self.call(to, Body::HeadRequest(request)).await? {
            Body::HeadResponse(bytes) => Ok(bytes),
            _ => Err(Error::InvalidField("answer")),
        }
    }

    /// Asks a peer for the changes of a table.
    pub async fn request_copy(
        &self,
        to: SocketAddr,
        request: CopyRequest,
    ) -> Result<Option<Vec<u8>>> {
        match self.call(to, Body::CopyRequest(request)).await? {
            Body::CopyResponse(bytes) => Ok(bytes),
            _ => Err(Error::InvalidField("answer")),
        }
    }

    /// Asks a peer what it has in force.
    pub async fn request_status(&self, to: SocketAddr) -> Result<Status> {
        match self.call(to, Body::StatusRequest).await? {
            Body::StatusResponse(status) => Ok(status),
            _ => Err(Error::InvalidField("answer")),
        }
    }

    async fn call(&self, to: SocketAddr, body: Body) -> Result<Body> {
        let call = self.shared.next_call.fetch_add(1, Ordering::Relaxed);
        let (response, received) = oneshot::channel();
        self.calls()
            .insert(call, PendingCall { peer: to, response });
        let _guard = CallGuard { link: self, call };
        self.enqueue(
            to,
            &Frame {
                kind: Kind::Request(call),
                body,
            },
        )?;
        let limit = self.shared.limits.call_timeout;
        match tokio::time::timeout(limit, received).await {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(_)) => Err(Error::Closed),
            Err(_) => Err(Error::Timeout(to)),
        }
    }

    /// Ends the asks to a peer that is gone: it has lost them, and nothing else would tell before their
    /// time limit.
    pub(crate) fn fail_calls(&self, peer: SocketAddr) {
        self.calls().retain(|_, pending| pending.peer != peer);
    }

    /// Whether an ask to a peer waits for its answer.
    pub(crate) fn has_pending_call(&self, peer: SocketAddr) -> bool {
        self.calls().values().any(|pending| pending.peer == peer)
    }

    fn calls(&self) -> std::sync::MutexGuard<'_, HashMap<CallId, PendingCall>> {
        self.shared
            .calls
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn enqueue(&self, to: SocketAddr, frame: &Frame) -> Result<()> {
        let bytes = Bytes::from(frame.encode()?);
        if bytes.len() > self.shared.limits.max_frame_len {
            return Err(Error::FrameTooLong(bytes.len()));
        }
        let queued = self
            .shared
            .routes
            .push(self, to, Outgoing { bytes, attempts: 0 });
        if queued.is_err() {
            self.shared.counters.dropped.add(1);
        }
        queued
    }

    /// Gives a frame to whom it is for.
    pub(crate) async fn deliver(&self, from: SocketAddr, frame: Frame) {
        let inbound = match (frame.kind, frame.body) {
            (Kind::OneWay, Body::Member(message)) => Inbound::Member { from, message },
            (Kind::Request(call), Body::HeadRequest(request)) => Inbound::Head {
                request,
                reply: self.reply(from, call, Body::HeadResponse),
            },
            (Kind::Request(call), Body::CopyRequest(request)) => Inbound::Copy {
                request,
                reply: self.reply(from, call, Body::CopyResponse),
            },
            (Kind::Request(call), Body::StatusRequest) => Inbound::Status {
                reply: self.reply(from, call, Body::StatusResponse),
            },
            (Kind::Response(call), body) => return self.complete_call(from, call, body),
            _ => return,
        };
        let _ = self.shared.inbound.send(inbound).await;
    }

    fn reply<T>(&self, to: SocketAddr, call: CallId, body: fn(T) -> Body) -> Reply<T> {
        Reply {
            link: self.clone(),
            to,
            call,
            body,
        }
    }

    /// An answer counts only from the peer that was asked.
    fn complete_call(&self, from: SocketAddr, call: CallId, body: Body) {
        let mut calls = self.calls();
        if calls.get(&call).is_none_or(|pending| pending.peer != from) {
            return;
        }
        if let Some(pending) = calls.remove(&call) {
            let _ = pending.response.send(body);
        }
    }
}

/// Forgets an ask when its future is dropped, so that those that time out do not pile up.
struct CallGuard<'a> {
    link: &'a Link,
    call: CallId,
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        self.link.calls().remove(&self.call);
    }
}

/// Where the answer to a peer's ask goes.
pub struct Reply<T> {
    link: Link,
    to: SocketAddr,
    call: CallId,
    body: fn(T) -> Body,
}

impl<T> std::fmt::Debug for Reply<T> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Reply({} to {})", self.call, self.to)
    }
}

impl<T> Reply<T> {
    /// Answers.
    pub fn send(self, answer: T) -> Result<()> {
        let frame = Frame {
            kind: Kind::Response(self.call),
            body: (self.body)(answer),
        };
        self.link.enqueue(self.to, &frame)
    }
}
