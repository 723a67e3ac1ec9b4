//! Splits an event stream (`text/event-stream`) into events.
//!
//! An endpoint may fail in the middle of an event. Only complete events are forwarded, so that the
//! events of the endpoint that resumes the response can follow directly.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event; a longer one fails the stream.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Size above which an event is a long one.
const LONG_EVENT_BYTES: usize = 16 << 10;

/// A complete event, including the empty line that terminates it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Numeric event id; `None` if the event has no id or the id is not a number.
    pub id: Option<u64>,
    /// The event as received.
    pub bytes: Bytes,
}

impl Event {
    /// Returns whether the event brings the response forward: it has an id or data. Others are comments, which
    /// only keep a connection open.
    pub fn has_content(&self) -> bool {
        let mut lines = self.bytes.split(|&b| b == b'\n');
        self.id.is_some() || lines.any(|line| line.starts_with(b"data"))
    }
}

/// Buffers the bytes of a stream and iterates over its complete events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Number of leading bytes of `buffer` that contain no end of an event.
    scanned: usize,
}

impl Splitter {
    /// Appends received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the memory of the incomplete event, if it is a long one, in bytes.
    pub fn long_event_bytes(&self) -> usize {
        match self.buffer.len() > LONG_EVENT_BYTES {
            true => self.buffer.capacity(),
            false => 0,
        }
    }

    /// Returns whether the buffer holds an incomplete event: a line that is neither blank nor a comment.
    pub fn has_partial(&self) -> bool {
        let mut lines = self.buffer[..].split(|&b| b == b'\n');
        lines.any(|line| !matches!(line, [] | [b'\r'] | [b':', ..]))
    }

    /// Takes what follows the last event of a stream that has ended; `None` if nothing does.
    pub fn take_tail(&mut self) -> Option<Bytes> {
        self.scanned = 0;
        let tail = self.buffer.split().freeze();
        (!tail.is_empty()).then_some(tail)
    }

    /// Returns whether the buffered event exceeds the maximum size.
    pub fn is_oversized(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Discards buffered bytes, before the stream of another endpoint follows.
    pub fn clear(&mut self) {
        self.buffer.clear();
        self.scanned = 0;
    }
}

impl Iterator for Splitter {
    type Item = Event;

    /// Returns the next complete event; `None` until more bytes are received.
    fn next(&mut self) -> Option<Event> {
        let Some(end) = event_end(&self.buffer, self.scanned) else {
            self.scanned = self.buffer.len().saturating_sub(3);
            return None;
        };
        self.scanned = 0;
        let bytes = self.buffer.split_to(end).freeze();
        if end > LONG_EVENT_BYTES {
            // The rest would keep the memory of the event.
            self.buffer = BytesMut::from(&self.buffer[..]);
        }
        let id = event_id(&bytes);
        Some(Event { id, bytes })
    }
}

/// Returns the offset behind the first event, which ends with an empty line.
fn event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let from = from.min(bytes.len());
    let ends = (from..bytes.len()).filter(|&i| bytes[i] == b'\n');
    ends.into_iter().find_map(|i| match &bytes[i + 1..] {
        [b'\n', ..] => Some(i + 2),
        [b'\r', b'\n', ..] => Some(i + 3),
        _ => None,
    })
}

fn event_id(bytes: &[u8]) -> Option<u64> {
    let mut lines = bytes.split(|&b| b == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
