//! Lines that explain a decision afterwards: typed events, written as JSON to standard output.
//!
//! [`Journal::tell`] puts an event into a bounded queue and never waits; [`writer`] writes the
//! queue from a thread of its own, so that a reader of standard output that stops reading stops
//! nothing else. An event that finds the queue full is counted, and the count is a line of its
//! own once there is room.

pub mod event;
pub mod writer;

use event::Event;
use serde::Serialize;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Lines that may wait to be written: a few seconds of a busy node, some 2 MB.
pub const QUEUE: usize = 4096;

/// An event with its time.
#[derive(Debug, Serialize)]
pub struct Line {
    /// Milliseconds of Unix time.
    pub time: u64,
    /// The event.
    #[serde(flatten)]
    pub event: Event,
}

/// Where events are told; clones share the queue.
#[derive(Clone, Debug)]
pub struct Journal {
    queue: Option<SyncSender<Line>>,
    dropped: Arc<AtomicU64>,
}

impl Journal {
    /// A journal and the lines that are told it.
    pub fn new(queue: usize) -> (Self, Receiver<Line>) {
        let (tx, rx) = sync_channel(queue);
        let journal = Self {
            queue: Some(tx),
            dropped: Arc::default(),
        };
        (journal, rx)
    }

    /// A journal that nobody reads.
    pub fn silent() -> Self {
        Self {
            queue: None,
            dropped: Arc::default(),
        }
    }

    /// Tells an event.
    pub fn tell(&self, event: Event) {
        let Some(queue) = &self.queue else {
            return;
        };
        let line = Line {
            time: millis(),
            event,
        };
        if queue.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Events that found the queue full since the last call.
    pub fn take_dropped(&self) -> u64 {
        self.dropped.swap(0, Ordering::Relaxed)
    }
}

pub(crate) fn millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since.unwrap_or(Duration::ZERO).as_millis()).unwrap_or(u64::MAX)
}
