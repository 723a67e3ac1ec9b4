//! Cuts an event stream into whole events.
//!
//! An endpoint may stop in the middle of an event. Only whole events are passed on, so that what
//! follows from another endpoint stands right behind them.

use bytes::{Bytes, BytesMut};

/// Longest event that is waited for.
const LONGEST: usize = 1 << 20;

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
pub struct Cutter {
    rest: BytesMut,
    /// Bytes of `rest` in which no end was found.
    seen: usize,
}

impl Cutter {
    /// Adds bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.rest.extend_from_slice(bytes);
    }

    /// Whether the stream stops in the middle of an event.
    pub fn torn(&self) -> bool {
        !self.rest.is_empty()
    }

    /// Whether an event is longer than any that is sent.
    pub fn overlong(&self) -> bool {
        self.rest.len() > LONGEST
    }

    /// Drops what is left of an endpoint's stream.
    pub fn clear(&mut self) {
        self.rest.clear();
        self.seen = 0;
    }
}

impl Iterator for Cutter {
    type Item = Event;

    /// The next whole event.
    fn next(&mut self) -> Option<Event> {
        let Some(end) = end(&self.rest, self.seen) else {
            self.seen = self.rest.len().saturating_sub(3);
            return None;
        };
        self.seen = 0;
        let bytes = self.rest.split_to(end).freeze();
        let id = id(&bytes);
        Some(Event { id, bytes })
    }
}

/// Where the first event ends: behind an empty line.
fn end(bytes: &[u8], from: usize) -> Option<usize> {
    let from = from.min(bytes.len());
    let ends = (from..bytes.len()).filter(|&i| bytes[i] == b'\n');
    ends.into_iter().find_map(|i| match &bytes[i + 1..] {
        [b'\n', ..] => Some(i + 2),
        [b'\r', b'\n', ..] => Some(i + 3),
        _ => None,
    })
}

fn id(bytes: &[u8]) -> Option<u64> {
    let mut lines = bytes.split(|&b| b == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
