//! The socket of a caller's connection, and the memory of what it has not taken yet.

use memory::budget::{Budget, Lease, Part};
use socket2::SockRef;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio_rustls::server::TlsStream;

/// Parts of answers that were passed to a connection and that its socket has not taken.
#[derive(Debug)]
pub(super) struct Unsent {
    state: Mutex<State>,
    /// Whether an answer is being sent whose end is that of the connection.
    ends_answer: AtomicBool,
}

#[derive(Debug)]
struct State {
    lease: Lease,
    /// Time since which the socket takes nothing; `None` while it takes all.
    blocked_since: Option<Instant>,
}

impl Unsent {
    pub(super) fn new(budget: &Budget) -> Self {
        Self {
            state: Mutex::new(State {
                lease: budget.lease(Part::Connections),
                blocked_since: None,
            }),
            ends_answer: AtomicBool::new(false),
        }
    }

    /// Records whether an answer is being sent whose end is that of the connection. Until it is written
    /// completely, the connection must not be closed in order.
    pub(super) fn set_ends_answer(&self, ends: bool) {
        self.ends_answer.store(ends, Ordering::Relaxed);
    }

    /// Records a part of an answer that was passed to the connection. It is in memory already.
    pub(super) fn add(&self, bytes: usize) {
        self.lock().lease.grow(bytes);
    }

    /// Returns the time for which the socket has taken nothing that it was to take.
    pub(super) fn blocked_for(&self) -> Duration {
        let since = self.lock().blocked_since;
        since.map_or(Duration::ZERO, |since| since.elapsed())
    }

    /// Records the outcome of a write. What the connection adds to an answer is not told apart from it, so the
    /// memory may be given back too early by the length of a head.
    fn record(&self, written: &Poll<io::Result<usize>>) {
        let mut state = self.lock();
        match written {
            Poll::Pending => {
                state.blocked_since.get_or_insert_with(Instant::now);
            }
            Poll::Ready(Ok(bytes)) => {
                let left = state.lease.bytes().saturating_sub(*bytes);
                state.lease.shrink_to(left);
                state.blocked_since = None;
            }
            Poll::Ready(Err(_)) => {}
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection that can be reset.
pub(super) trait Reset {
    /// Makes the kernel reset the connection when it is closed.
    fn reset_on_close(&self);
}

impl Reset for TcpStream {
    fn reset_on_close(&self) {
        // A failure leaves the connection to be closed in order.
        let _ = SockRef::from(self).set_linger(Some(Duration::ZERO));
    }
}

impl Reset for TlsStream<TcpStream> {
    fn reset_on_close(&self) {
        self.get_ref().0.reset_on_close();
    }
}

/// A socket that records what it takes. It is reset if it is dropped in the middle of an answer whose end is that of
/// the connection.
pub(super) struct Socket<I: Reset> {
    io: I,
    unsent: Arc<Unsent>,
}

impl<I: Reset> Drop for Socket<I> {
    fn drop(&mut self) {
        if self.unsent.ends_answer.load(Ordering::Relaxed) {
            self.io.reset_on_close();
        }
    }
}

impl<I: Reset> Socket<I> {
    pub(super) fn new(io: I, unsent: Arc<Unsent>) -> Self {
        Self { io, unsent }
    }
}

impl<I: AsyncRead + Reset + Unpin> AsyncRead for Socket<I> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buffer)
    }
}

impl<I: AsyncWrite + Reset + Unpin> AsyncWrite for Socket<I> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write(cx, bytes);
        self.unsent.record(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write_vectored(cx, parts);
        self.unsent.record(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
