//! A structured log of decisions: typed events, written to standard output as lines of JSON.
//!
//! [`Journal::record`] puts an event into a bounded queue and never blocks. [`writer`] drains the
//! queue on a thread of its own, so a reader that stops reading standard output does not stall
//! request processing. Events that find the queue full are counted, and the count is written as an
//! event of its own once the queue has free capacity.

pub mod event;
pub mod logger;
pub mod writer;

use event::Event;
use serde::Serialize;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Capacity of the queue in lines: a few seconds of output of a busy node, about 2 MB.
pub const QUEUE_CAPACITY: usize = 4096;

/// An event and its timestamp.
#[derive(Debug, Serialize)]
pub struct Line {
    /// Unix time in milliseconds.
    pub time: u64,
    /// The event.
    #[serde(flatten)]
    pub event: Event,
}

/// An item of the queue between journals and the writer.
#[derive(Debug)]
pub enum Message {
    /// A line to write.
    Line(Line),
    /// End of the log. The logger of the process holds a [`Journal`] for the process's lifetime, so
    /// the channel never disconnects and the end needs an explicit mark.
    End,
}

/// Handle that records events. Clones share one queue.
#[derive(Clone, Debug)]
pub struct Journal {
    queue: Option<SyncSender<Message>>,
    dropped: Arc<AtomicU64>,
    /// Whether the log is to end, so that its writer no longer waits for further lines.
    ending: Arc<AtomicBool>,
}

impl Journal {
    /// Creates a journal whose queue holds `capacity` lines, and the receiver of its lines.
    pub fn new(capacity: usize) -> (Self, Receiver<Message>) {
        let (tx, rx) = sync_channel(capacity);
        let journal = Self {
            queue: Some(tx),
            dropped: Arc::default(),
            ending: Arc::default(),
        };
        (journal, rx)
    }

    /// Creates a journal that discards all events.
    pub fn disabled() -> Self {
        Self {
            queue: None,
            dropped: Arc::default(),
            ending: Arc::default(),
        }
    }

    /// Records an event. Never blocks; if the queue is full the event is dropped and counted.
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

    /// Queues the mark for the end of the log. Returns whether the queue had free capacity for it.
    pub(crate) fn end(&self) -> bool {
        let queue = self.queue.as_ref();
        queue.is_none_or(|queue| queue.try_send(Message::End).is_ok())
    }
}

pub(crate) fn unix_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(elapsed.unwrap_or(Duration::ZERO).as_millis()).unwrap_or(u64::MAX)
}
