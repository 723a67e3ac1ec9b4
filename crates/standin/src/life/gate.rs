//! Sockets that can go silent: bytes are taken and never answered, and the connection stays open.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Whether a connection, or the whole endpoint, is silent.
#[derive(Clone, Debug, Default)]
pub(crate) struct Silence {
    pub(crate) own: Arc<AtomicBool>,
    pub(crate) all: Arc<AtomicBool>,
}

impl Silence {
    /// Once silent, a connection stays so: the bytes it lost can't come back.
    fn holds(&self) -> bool {
        if self.all.load(Ordering::Relaxed) {
            self.own.store(true, Ordering::Relaxed);
        }
        self.own.load(Ordering::Relaxed)
    }
}

/// A socket behind a [`Silence`].
#[derive(Debug)]
pub(crate) struct Gate {
    pub(crate) socket: TcpStream,
    pub(crate) silence: Silence,
}

impl AsyncRead for Gate {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.silence.holds() {
            return Poll::Pending;
        }
        Pin::new(&mut self.socket).poll_read(cx, buf)
    }
}

impl AsyncWrite for Gate {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.silence.holds() {
            return Poll::Ready(Ok(buf.len()));
        }
        Pin::new(&mut self.socket).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.silence.holds() {
            return Poll::Pending;
        }
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}
