//! HTTP/2 connection and the limit of its concurrent streams.

use super::{Error, Limits, Result};
use crate::stream::Stream;
use bytes::Bytes;
use futures::FutureExt;
use h2::client::SendRequest;
use http::Request;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// Maximum size of a received DATA frame. The activations of one token and their head fit into one
/// frame.
const MAX_FRAME_BYTES: u32 = 64 << 10;
/// Maximum flow-control window that HTTP/2 allows.
const MAX_WINDOW: u32 = (1 << 31) - 1;

/// Handle of a connection. A handle with a permit may start one stream.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Bytes>,
    free: Arc<Semaphore>,
    used: Arc<AtomicBool>,
    permit: Option<OwnedSemaphorePermit>,
    /// Task that drives the connection; present only in the pool's handle, so that the connection
    /// ends when the pool drops it.
    task: Option<Task>,
}

/// Task that is aborted when this handle is dropped.
#[derive(Debug)]
struct Task(JoinHandle<()>);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Connection {
    /// Connects to an endpoint within `limits.connect_timeout`.
    pub(crate) async fn connect(addr: SocketAddr, limits: &Limits) -> Result<Self> {
        let socket = timeout(limits.connect_timeout, TcpStream::connect(addr))
            .await
            .map_err(|_| Error::Connect)?
            .map_err(|_| Error::Connect)?;
        socket.set_nodelay(true).map_err(|_| Error::Connect)?;
        // The connection's window is the sum of the windows of all its streams. A stream whose next
        // stage doesn't accept activations stays unread, and would otherwise use up the window that
        // the other streams need.
        let window = limits
            .stream_window
            .saturating_mul(limits.max_streams)
            .min(MAX_WINDOW);
        let (sender, connection) = h2::client::Builder::new()
            .initial_window_size(limits.stream_window)
            .initial_connection_window_size(window)
            .max_send_buffer_size(limits.stream_window as usize)
            .max_frame_size(MAX_FRAME_BYTES)
            .enable_push(false)
            .handshake(socket)
            .await
            .map_err(|_| Error::Connect)?;
        let free = Arc::new(Semaphore::new(limits.max_streams as usize));
        let used = Arc::new(AtomicBool::new(true));
        let idle = wait_until_idle(free.clone(), used.clone(), *limits);
        let task = tokio::spawn(async move {
            tokio::select! {
                _ = connection => {}
                () = idle => {}
            }
        });
        Ok(Self {
            sender,
            free,
            used,
            permit: None,
            task: Some(Task(task)),
        })
    }

    /// Returns a handle that may start one stream, if the connection is open and below its limit of
    /// streams.
    pub(crate) fn reserve(&self) -> Option<Self> {
        if !self.is_open() {
            return None;
        }
        let permit = self.free.clone().try_acquire_owned().ok()?;
        self.used.store(true, Ordering::Relaxed);
        Some(Self {
            sender: self.sender.clone(),
            free: self.free.clone(),
            used: self.used.clone(),
            permit: Some(permit),
            task: None,
        })
    }

    /// Returns the number of active and reserved streams.
    pub(super) fn active_streams(&self, limits: &Limits) -> usize {
        (limits.max_streams as usize).saturating_sub(self.free.available_permits())
    }

    /// Returns whether new streams can start.
    pub(crate) fn is_open(&self) -> bool {
        let ready = poll_fn(|cx| self.sender.clone().poll_ready(cx)).now_or_never();
        !self.is_finished() && !matches!(ready, Some(Err(_)))
    }

    /// Returns whether the connection has ended: no stream is active and none can start.
    pub(crate) fn is_finished(&self) -> bool {
        self.task.as_ref().is_some_and(|task| task.0.is_finished())
    }

    /// Starts a stream on a reserved handle. `end` states that the request has no body.
    pub(crate) fn start(mut self, request: Request<()>, end: bool) -> Result<Stream> {
        let permit = self.permit.take().ok_or(Error::Full)?;
        let (response, sender) = self
            .sender
            .send_request(request, end)
            .map_err(|_| Error::Reset)?;
        Ok(Stream::new(response, sender, permit))
    }
}

/// Waits until no stream has been active for at least `limits.idle_timeout`, then takes all
/// permits, so that no stream can start while the connection closes.
async fn wait_until_idle(free: Arc<Semaphore>, used: Arc<AtomicBool>, limits: Limits) {
    loop {
        sleep(limits.idle_timeout).await;
        if used.swap(false, Ordering::Relaxed) {
            continue;
        }
        if let Ok(all) = free.try_acquire_many(limits.max_streams) {
            all.forget();
            return;
        }
    }
}
