//! The socket of a caller's connection, which reports what it reads and whether it takes what is written.

use super::State;
use socket2::SockRef;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf, Take};
use tokio::net::TcpStream;

/// Maximum number of bytes of one read. Below the initial buffer of the HTTP library, which would grow with
/// reads that fill it.
const READ_BYTES: u64 = (8 << 10) - 1;

/// The socket of a connection.
pub(crate) struct Socket {
    stream: Take<TcpStream>,
    state: Rc<State>,
}

impl Socket {
    pub(crate) fn new(stream: TcpStream, state: Rc<State>) -> Self {
        Self {
            stream: stream.take(READ_BYTES),
            state,
        }
    }

    /// Records the outcome of a write.
    fn written(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        match &written {
            Poll::Pending => self.state.record_blocked(),
            Poll::Ready(Ok(bytes)) => self.state.record_progress(*bytes),
            Poll::Ready(Err(_)) => {}
        }
        written
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        if self.state.ends_response() {
            // The kernel resets the connection, also if it has unsent bytes. A failure leaves it closed in order.
            let socket = SockRef::from(self.stream.get_ref());
            let _ = socket.set_linger(Some(Duration::ZERO));
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.stream.set_limit(READ_BYTES);
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buffer);
        let bytes = buffer.filled().len() - before;
        if bytes > 0 {
            self.state.record_read(bytes);
        }
        read
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(self.stream.get_mut()).poll_write(cx, bytes);
        self.written(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(self.stream.get_mut()).poll_write_vectored(cx, parts);
        self.written(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.get_ref().is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Called only once everything was written.
        self.state.record_flushed();
        Pin::new(self.stream.get_mut()).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.stream.get_mut()).poll_shutdown(cx)
    }
}
