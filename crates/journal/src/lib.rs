//! Lines that explain a decision afterwards: typed events, written as JSON to standard output.
//!
//! [`Journal::tell`] puts an event into a bounded queue and never waits; [`writer`] writes the
//! queue from a thread of its own, so that a reader of standard output that stops reading stops
//! nothing else. An event that finds the queue full is counted, and the count is a line of its
//! own once there is room.

pub mod event;
pub mod logger;
pub mod writer;

use event::Event;
use serde::Serialize;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Lines that may wait to be written: a few seconds of a busy node, some 2 MB.
pub const QUEUE_CAPACITY: usize = 4096;

/// An event with its time.
#[derive(Debug, Serialize)]
pub struct Line {
    /// Milliseconds of Unix time.
    pub time: u64,
    /// The event.
    #[serde(flatten)]
    pub event: Event,
}

/// What is in the queue.
#[derive(Debug)]
pub enum Message {
    /// A line to write.
    Line(Line),
    /// Nothing follows. The logger of the whole process keeps a journal for good, so the writer
    /// can't wait until all of them are dropped.
    End,
}

/// Where events are told; clones share the queue.
#[derive(Clone, Debug)]
pub struct Journal {
    queue: Option<SyncSender<Message>>,
    dropped: Arc<AtomicU64>,
}

impl Journal {
    /// A journal and the lines that are told it.
    pub fn new(capacity: usize) -> (Self, Receiver<Message>) {
        let (tx, rx) = sync_channel(capacity);
        let journal = Self {
            queue: Some(tx),
            dropped: Arc::default(),
        };
        (journal, rx)
    }

    /// A journal that nobody reads.
    pub fn disabled() -> Self {
        Self {
            queue: None,
            dropped: Arc::default(),
        }
    }

    /// Tells an event.
    pub fn record(&self, event: Event) {
        let Some(queue) = &self.queue else {
            return;
        };
        let line = Line {
            time: unix_millis(),
            event,
        };
        if queue.try_send(Message::Line(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Marks the end of the lines; whether there was room for the mark.
    pub(crate) fn end(&self) -> bool {
        let queue = self.queue.as_ref();
        queue.is_none_or(|queue| queue.try_send(Message::End).is_ok())
    }
}

pub(crate) fn unix_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(elapsed.unwrap_or(Duration::ZERO).as_millis()).unwrap_or(u64::MAX)
}
