//! Sockets that can hang: nothing more is read, written bytes are discarded, and the connection
//! stays open.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Switches that hang one connection (`own`) or the whole endpoint (`all`).
#[derive(Clone, Debug, Default)]
pub(crate) struct HangSwitch {
    pub(crate) own: Arc<AtomicBool>,
    pub(crate) all: Arc<AtomicBool>,
}

impl HangSwitch {
    /// Returns whether the connection hangs. Once it hangs it stays so, since the bytes that it
    /// discarded cannot be recovered.
    fn is_hung(&self) -> bool {
        if self.all.load(Ordering::Relaxed) {
            self.own.store(true, Ordering::Relaxed);
        }
        self.own.load(Ordering::Relaxed)
    }
}

/// A socket that hangs when its [`HangSwitch`] is on.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) socket: TcpStream,
    pub(crate) hang: HangSwitch,
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.hang.is_hung() {
            return Poll::Pending;
        }
        Pin::new(&mut self.socket).poll_read(cx, buf)
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.hang.is_hung() {
            return Poll::Ready(Ok(buf.len()));
        }
        Pin::new(&mut self.socket).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.hang.is_hung() {
            return Poll::Pending;
        }
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}
