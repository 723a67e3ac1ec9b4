//! The link of a node to its peers: sends messages, calls peers and delivers what they send.

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

/// What a link delivers to its node.
#[derive(Debug)]
pub enum Inbound {
    /// A message of the membership protocol.
    Member {
        /// Address that the sender's peers connect to.
        from: SocketAddr,
        /// The message.
        message: member::Message,
    },
    /// A peer requests the records that lead to a version of the bundle.
    Head {
        /// The request.
        request: HeadRequest,
        /// Sends the response.
        reply: Reply<Option<Vec<u8>>>,
    },
    /// A peer requests the changes of a table.
    Copy {
        /// The request.
        request: CopyRequest,
        /// Sends the response.
        reply: Reply<Option<Vec<u8>>>,
    },
    /// A peer requests this node's status.
    Status {
        /// Sends the response.
        reply: Reply<Status>,
    },
    /// No new connection to this address could be opened.
    ConnectFailed(SocketAddr),
}

/// Settings of a link.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Address that peers connect to; the address listened on if `None`.
    pub advertise: Option<SocketAddr>,
    /// The key that all nodes share.
    pub key: Key,
    /// Limits and timeouts.
    pub limits: Limits,
}

/// State shared by all tasks of a link.
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

/// A call in flight.
struct PendingCall {
    peer: SocketAddr,
    response: oneshot::Sender<Body>,
}

/// A link to all peers of a node. Clones refer to the same link.
#[derive(Clone)]
pub struct Link {
    pub(crate) shared: Arc<Shared>,
}

impl Link {
    /// Binds the listener and serves connections until `cancel` is cancelled.
    ///
    /// Messages and requests of peers are sent to `inbound`; while it is full, connections are not
    /// read.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
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

    /// Returns the address that peers connect to.
    pub fn addr(&self) -> SocketAddr {
        self.shared.addr
    }

    /// Returns the link's counters.
    pub fn counters(&self) -> &Counters {
        &self.shared.counters
    }

    /// Returns the number of peers to which there is a route.
    pub fn route_count(&self) -> usize {
        self.shared.routes.len()
    }

    /// Queues a message to a peer.
    ///
    /// # Errors
    ///
    /// Fails if the message is too long, or if the queue to the peer is full: then the message is
    /// dropped and counted.
    pub fn send(&self, to: SocketAddr, message: member::Message) -> Result<()> {
        self.enqueue(to, &Frame::send(message))
    }

    /// Requests from a peer the records that lead to a version of the bundle; `None` if the peer
    /// can't provide them.
    ///
    /// # Errors
    ///
    /// Every request fails if it can't be queued, if the peer is unreachable ([`Error::Closed`]) or
    /// if there is no response within `call_timeout` ([`Error::Timeout`]).
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

    /// Requests from a peer the changes of a table; `None` if the peer has no copy of it.
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

    /// Requests a peer's status.
    pub async fn request_status(&self, to: SocketAddr) -> Result<Status> {
        match self.call(to, Body::StatusRequest).await? {
            Body::StatusResponse(status) => Ok(status),
            _ => Err(Error::InvalidField("answer")),
        }
    }

    /// Sends a request and waits for its response, at most for `call_timeout`.
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

    /// Fails the calls in flight to an unreachable peer with [`Error::Closed`], so that they don't
    /// wait for their timeout.
    pub(crate) fn fail_calls(&self, peer: SocketAddr) {
        self.calls().retain(|_, pending| pending.peer != peer);
    }

    /// Returns whether a call to the peer is in flight.
    pub(crate) fn has_pending_call(&self, peer: SocketAddr) -> bool {
        self.calls().values().any(|pending| pending.peer == peer)
    }

    fn calls(&self) -> std::sync::MutexGuard<'_, HashMap<CallId, PendingCall>> {
        self.shared
            .calls
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Encodes a frame and queues it on the route to a peer.
    pub(crate) fn enqueue(&self, to: SocketAddr, frame: &Frame) -> Result<()> {
        self.enqueue_with(to, frame, None)
    }

    /// Queues a frame as [`Link::enqueue`] does, with the sender that is dropped with it.
    fn enqueue_with(
        &self,
        to: SocketAddr,
        frame: &Frame,
        delivery: Option<oneshot::Sender<()>>,
    ) -> Result<()> {
        let bytes = Bytes::from(frame.encode()?);
        if bytes.len() > self.shared.limits.max_frame_len {
            return Err(Error::FrameTooLong(bytes.len()));
        }
        let outgoing = Outgoing {
            bytes,
            attempts: 0,
            _delivery: delivery,
        };
        let queued = self.shared.routes.push(self, to, outgoing);
        if queued.is_err() {
            self.shared.counters.dropped.add(1);
        }
        queued
    }

    /// Delivers a received frame: a response to its call, a message or request to `inbound`.
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

    /// Creates the handle for the response to a peer's request.
    fn reply<T>(&self, to: SocketAddr, call: CallId, body: fn(T) -> Body) -> Reply<T> {
        Reply {
            link: self.clone(),
            to,
            call,
            body,
        }
    }

    /// Completes a call with its response. Ignores responses of peers other than the one called.
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

/// Removes a call when its future ends or is dropped, so that calls that time out don't
/// accumulate.
struct CallGuard<'a> {
    link: &'a Link,
    call: CallId,
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        self.link.calls().remove(&self.call);
    }
}

/// Sends the response to a peer's request.
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
    /// Queues the response to the peer.
    ///
    /// # Errors
    ///
    /// Fails if the response is too long or the queue to the peer is full.
    pub fn send(self, response: T) -> Result<()> {
        self.send_with(response, None)
    }

    /// Queues the response to the peer, as [`Reply::send`] does, and returns its delivery.
    pub fn send_tracked(self, response: T) -> Result<Delivery> {
        let (sender, ended) = oneshot::channel();
        self.send_with(response, Some(sender))?;
        Ok(Delivery { ended })
    }

    fn send_with(self, response: T, delivery: Option<oneshot::Sender<()>>) -> Result<()> {
        let frame = Frame {
            kind: Kind::Response(self.call),
            body: (self.body)(response),
        };
        self.link.enqueue_with(self.to, &frame, delivery)
    }

    /// Returns the address of the peer that sent the request.
    pub fn peer(&self) -> SocketAddr {
        self.to
    }
}

/// The delivery of a queued response.
#[derive(Debug)]
pub struct Delivery {
    ended: oneshot::Receiver<()>,
}

impl Delivery {
    /// Waits until the peer has confirmed the response, or until it is given up.
    pub async fn ended(self) {
        // The sender is dropped with the frame and never used.
        let _ = self.ended.await;
    }
}
