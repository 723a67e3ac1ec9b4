//! A bound on the work that the sender of a response can cause with bytes that bring nothing.
//!
//! Bytes that are read, reads and frames cost units; a new request and what the receiver makes use of grant
//! some. A connection whose units are used up fails with its next read. So a response of any length may pass,
//! while interim responses, chunks of a byte, extensions, trailers or comments without end are cut off after a
//! bounded amount of work, however long the receiver would wait.

use hyper_util::client::legacy::connect::{Connected, Connection};
use std::fmt;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Cost of a read beside its bytes, in units; a byte costs one.
const READ_COST: usize = 64;
/// Cost of a frame of a body.
const FRAME_COST: usize = 64;
/// Units that a byte grants of which the receiver makes use.
const BYTE_GRANT: usize = 8;
/// Units that each frame of use grants beside its bytes, so that short events pass at any number.
const FRAME_GRANT: usize = 512;

/// Units that a connection has before the receiver has made use of anything.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowance {
    /// For the head of a response, with the interim responses before it.
    pub head: usize,
    /// For its body.
    pub body: usize,
}

/// The units of a connection; clones share them.
#[derive(Clone, Debug)]
pub struct Meter {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    allowance: Allowance,
    left: AtomicUsize,
}

impl Meter {
    /// Creates the meter of an unused connection.
    pub fn new(allowance: Allowance) -> Self {
        Self {
            shared: Arc::new(Shared {
                left: AtomicUsize::new(allowance.head),
                allowance,
            }),
        }
    }

    /// Begins a new response, before its request is sent.
    pub fn begin(&self) {
        let left = &self.shared.left;
        left.store(self.shared.allowance.head, Ordering::Relaxed);
    }

    /// Records that a part of a request was sent. Whoever pools connections without calling [`Self::begin`]
    /// begins a new response by that.
    fn record_write(&self) {
        self.update(|left| left.max(self.shared.allowance.head));
    }

    /// Begins the body of a response whose head was accepted.
    pub fn begin_body(&self) {
        let left = &self.shared.left;
        left.store(self.shared.allowance.body, Ordering::Relaxed);
    }

    /// Records a frame of a body, of which the receiver makes use of `used` bytes.
    pub fn record_frame(&self, used: usize) {
        if used == 0 {
            self.spend(FRAME_COST);
            return;
        }
        let granted = used.saturating_mul(BYTE_GRANT).saturating_add(FRAME_GRANT);
        let max = self.shared.allowance.body;
        self.update(|left| left.saturating_add(granted).min(max).max(left));
    }

    /// Records a frame of a body that is received completely. Of use are its bytes, however they are cut.
    pub fn record_part(&self, bytes: usize) {
        let granted = bytes.saturating_mul(BYTE_GRANT);
        let max = self.shared.allowance.body;
        self.update(|left| left.saturating_add(granted).min(max).max(left));
        self.spend(FRAME_COST);
    }

    /// Returns whether the units are used up: the connection has failed, or will with its next read.
    pub fn is_exhausted(&self) -> bool {
        self.shared.left.load(Ordering::Relaxed) == 0
    }

    fn spend(&self, units: usize) {
        self.update(|left| left.saturating_sub(units));
    }

    fn update(&self, change: impl Fn(usize) -> usize) {
        let left = &self.shared.left;
        let update = |left| match left {
            // An exhausted connection stays so until its end.
            0 => None,
            left => Some(change(left)),
        };
        // Fails if it is exhausted.
        let _ = left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, update);
    }
}

/// Error of a read on a connection whose units are used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exhausted;

impl Exhausted {
    /// Text for logs.
    pub const MESSAGE: &str = "response takes more work than it brings";
}

impl fmt::Display for Exhausted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(Self::MESSAGE)
    }
}

impl std::error::Error for Exhausted {}

/// A socket whose reads are metered.
#[derive(Debug)]
pub struct Metered<T> {
    io: T,
    meter: Meter,
}

impl<T> Metered<T> {
    /// Meters the reads of `io`.
    pub fn new(io: T, meter: Meter) -> Self {
        Self { io, meter }
    }
}

impl<T: Connection> Connection for Metered<T> {
    fn connected(&self) -> Connected {
        self.io.connected()
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Metered<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.meter.is_exhausted() {
            return Poll::Ready(Err(io::Error::other(Exhausted)));
        }
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.io).poll_read(cx, buffer))?;
        let read = buffer.filled().len() - before;
        if read > 0 {
            self.meter.spend(read + READ_COST);
        }
        Poll::Ready(Ok(()))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Metered<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.io).poll_write(cx, bytes));
        self.meter.record_write();
        Poll::Ready(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.io).poll_write_vectored(cx, parts));
        self.meter.record_write();
        Poll::Ready(written)
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
