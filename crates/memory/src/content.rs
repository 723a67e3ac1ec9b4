//! Bodies that were received completely.

use crate::budget::Lease;
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

/// A body in segments; clones share it. Its memory is given back with the last clone.
#[derive(Clone, Debug, Default)]
pub struct Content {
    shared: Option<Arc<Shared>>,
}

#[derive(Debug)]
struct Shared {
    segments: Vec<Bytes>,
    len: usize,
    /// The memory of the segments, if it is counted.
    lease: Option<Lease>,
}

/// Bytes with their memory.
struct Joined {
    bytes: Bytes,
    _lease: Option<Lease>,
}

impl AsRef<[u8]> for Joined {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Content {
    pub(crate) fn new(segments: Vec<Bytes>, len: usize, lease: Lease) -> Self {
        Self::from_parts(segments, len, Some(lease))
    }

    fn from_parts(segments: Vec<Bytes>, len: usize, lease: Option<Lease>) -> Self {
        let shared = Shared {
            segments,
            len,
            lease,
        };
        Self {
            shared: (len > 0).then(|| Arc::new(shared)),
        }
    }

    /// Returns the segments in order.
    pub fn segments(&self) -> &[Bytes] {
        self.shared.as_ref().map_or(&[], |s| s.segments.as_slice())
    }

    /// Returns the length in bytes.
    pub fn len(&self) -> usize {
        self.shared.as_ref().map_or(0, |s| s.len)
    }

    /// Returns whether it has no bytes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns whether there are other clones, which hold the memory too.
    pub fn is_shared(&self) -> bool {
        let shared = self.shared.as_ref();
        shared.is_some_and(|s| Arc::strong_count(s) > 1)
    }

    /// Returns the bytes in one piece. It holds the memory if this is the only clone. Bytes in several
    /// segments are copied.
    pub fn into_bytes(self) -> Bytes {
        let joined = match self.segments() {
            [] => return Bytes::new(),
            [segment] => segment.clone(),
            segments => segments.concat().into(),
        };
        let lease = self.shared.and_then(Arc::into_inner).and_then(|s| s.lease);
        Bytes::from_owner(Joined {
            bytes: joined,
            _lease: lease,
        })
    }

    /// Returns it as the body of a message.
    pub fn into_body(self) -> ContentBody {
        ContentBody {
            content: self,
            next: 0,
            sent: 0,
        }
    }
}

impl From<Bytes> for Content {
    /// Creates a content whose memory is not counted.
    fn from(bytes: Bytes) -> Self {
        let len = bytes.len();
        Self::from_parts(vec![bytes], len, None)
    }
}

/// The body of a message that sends a content.
#[derive(Clone, Debug, Default)]
pub struct ContentBody {
    content: Content,
    /// Index of the next segment.
    next: usize,
    /// Bytes in the segments before.
    sent: usize,
}

impl Body for ContentBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let segment = self.content.segments().get(self.next).cloned();
        self.next += 1;
        self.sent += segment.as_ref().map_or(0, Bytes::len);
        Poll::Ready(segment.map(|s| Ok(Frame::data(s))))
    }

    fn is_end_stream(&self) -> bool {
        self.next >= self.content.segments().len()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact((self.content.len() - self.sent) as u64)
    }
}
