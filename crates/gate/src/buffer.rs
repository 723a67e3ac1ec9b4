//! Buffers for the bodies of responses, bounded for all requests of a worker together.
//!
//! A faulty endpoint may send bytes without end. A bound for each response does not suffice, since
//! many of them may arrive at the same time.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::cell::Cell;

/// Maximum number of bytes in all buffers: a fifth of the memory of a small instance, which may hold
/// them twice while they are joined.
const MAX_TOTAL_BYTES: usize = 48 << 20;

/// The bytes that are buffered.
#[derive(Debug, Default)]
pub(crate) struct Buffers {
    used: Cell<usize>,
}

/// A body that is being received; its bytes count until it is dropped.
struct Buffer<'a> {
    buffers: &'a Buffers,
    chunks: Vec<Bytes>,
    len: usize,
}

impl Buffers {
    /// Receives a body completely; `None` if it is cut off, or exceeds `max_bytes` or the bound of all
    /// buffers.
    pub(crate) async fn collect(&self, mut body: Incoming, max_bytes: usize) -> Option<Bytes> {
        let mut buffer = Buffer {
            buffers: self,
            chunks: Vec::new(),
            len: 0,
        };
        while let Some(frame) = body.frame().await {
            // Trailers are not passed on.
            if let Ok(chunk) = frame.ok()?.into_data() {
                buffer.push(chunk, max_bytes)?;
            }
        }
        Some(buffer.join())
    }
}

impl Buffer<'_> {
    fn push(&mut self, chunk: Bytes, max_bytes: usize) -> Option<()> {
        let used = self.buffers.used.get() + chunk.len();
        if self.len + chunk.len() > max_bytes || used > MAX_TOTAL_BYTES {
            return None;
        }
        self.buffers.used.set(used);
        self.len += chunk.len();
        self.chunks.push(chunk);
        Some(())
    }

    fn join(&mut self) -> Bytes {
        match self.chunks.len() {
            1 => self.chunks.pop().unwrap_or_default(),
            _ => self.chunks.concat().into(),
        }
    }
}

impl Drop for Buffer<'_> {
    fn drop(&mut self) {
        self.buffers.used.set(self.buffers.used.get() - self.len);
    }
}
