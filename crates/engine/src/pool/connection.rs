//! One HTTP/2 connection and the streams it may carry.

use super::{Error, Limits, Result};
use crate::stream::Stream;
use bytes::Bytes;
use futures::FutureExt;
use h2::client::SendRequest;
use http::Request;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Bytes that all streams of one connection may have under way to this node.
const CONNECTION_WINDOW: u32 = 8 << 20;

/// A connection; clones share it. One with a permit may start one stream.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Bytes>,
    free: Arc<Semaphore>,
    permit: Option<OwnedSemaphorePermit>,
    /// Ends the connection when the pool drops it.
    task: Option<Task>,
}

/// Aborts the connection's task when dropped.
#[derive(Debug)]
struct Task(JoinHandle<()>);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Connection {
    /// Connects within the time limit.
    pub(crate) async fn make(addr: SocketAddr, limits: &Limits) -> Result<Self> {
        let socket = timeout(limits.connect, TcpStream::connect(addr))
            .await
            .map_err(|_| Error::Connect)?
            .map_err(|_| Error::Connect)?;
        socket.set_nodelay(true).map_err(|_| Error::Connect)?;
        let (sender, connection) = h2::client::Builder::new()
            .initial_window_size(limits.window)
            .initial_connection_window_size(CONNECTION_WINDOW)
            .enable_push(false)
            .handshake(socket)
            .await
            .map_err(|_| Error::Connect)?;
        let task = tokio::spawn(connection.map(|_| ()));
        let free = Arc::new(Semaphore::new(limits.streams as usize));
        Ok(Self {
            sender,
            free,
            permit: None,
            task: Some(Task(task)),
        })
    }

    /// A handle that may start one stream, if the connection is open and has one free.
    pub(crate) fn reserve(&self) -> Option<Self> {
        if !self.is_open() {
            return None;
        }
        let permit = self.free.clone().try_acquire_owned().ok()?;
        let sender = self.sender.clone();
        Some(Self {
            sender,
            free: self.free.clone(),
            permit: Some(permit),
            task: None,
        })
    }

    /// Whether new streams can start.
    pub(crate) fn is_open(&self) -> bool {
        let ready = poll_fn(|cx| self.sender.clone().poll_ready(cx)).now_or_never();
        !self.is_finished() && !matches!(ready, Some(Err(_)))
    }

    /// Whether no stream runs any more and none can start.
    pub(crate) fn is_finished(&self) -> bool {
        self.task.as_ref().is_some_and(|task| task.0.is_finished())
    }

    /// Starts a stream; `end` says that the request has no body.
    pub(crate) fn start(mut self, request: Request<()>, end: bool) -> Result<Stream> {
        let permit = self.permit.take().ok_or(Error::Full)?;
        let (response, sender) = self
            .sender
            .send_request(request, end)
            .map_err(|_| Error::Reset)?;
        Ok(Stream::new(response, sender, permit))
    }
}
