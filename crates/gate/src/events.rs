//! Cuts an event stream into whole events.
//!
//! An endpoint may stop in the middle of an event. Only whole events are passed on, so that what
//! follows from another endpoint stands right behind them.

use bytes::{Bytes, BytesMut};

/// Longest event that is waited for.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// A whole event, with the empty line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its id, if it has one that is a number.
    pub id: Option<u64>,
    /// Its bytes.
    pub bytes: Bytes,
}

/// Bytes that are not a whole event yet.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Bytes of `rest` in which no end was found.
    scanned: usize,
}

impl Splitter {
    /// Adds bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether the stream stops in the middle of an event.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Whether an event is longer than any that is sent.
    pub fn is_oversized(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Drops what is left of an endpoint's stream.
    pub fn clear(&mut self) {
        self.buffer.clear();
        self.scanned = 0;
    }
}

impl Iterator for Splitter {
    type Item = Event;

    /// The next whole event.
    fn next(&mut self) -> Option<Event> {
        let Some(end) = event_end(&self.buffer, self.scanned) else {
            self.scanned = self.buffer.len().saturating_sub(3);
            return None;
        };
        self.scanned = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let id = event_id(&bytes);
        Some(Event { id, bytes })
    }
}

/// Where the first event ends: behind an empty line.
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
