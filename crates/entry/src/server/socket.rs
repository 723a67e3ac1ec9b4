//! The socket of a caller's connection, and the memory of what it has not taken yet.

use memory::budget::{Budget, Lease, Part};
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Instant;

/// Parts of answers that were passed to a connection and that its socket has not taken.
#[derive(Debug)]
pub(super) struct Unsent {
    state: Mutex<State>,
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
        }
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

/// A socket that records what it takes.
pub(super) struct Socket<I> {
    io: I,
    unsent: Arc<Unsent>,
}

impl<I> Socket<I> {
    pub(super) fn new(io: I, unsent: Arc<Unsent>) -> Self {
        Self { io, unsent }
    }
}

impl<I: AsyncRead + Unpin> AsyncRead for Socket<I> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buffer)
    }
}

impl<I: AsyncWrite + Unpin> AsyncWrite for Socket<I> {
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
