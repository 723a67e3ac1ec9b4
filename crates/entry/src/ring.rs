//! Bounded single-producer rings between the threads of a node.
//!
//! A full ring never blocks its producer: [`Sender::push`] gives the value back, the loss is
//! counted, and the caller decides what it means (each use states it). The consumer sleeps on a
//! notification that is kept while nobody waits, so that no wake-up is lost.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::Notify;

/// Wakes the consumer when it is dropped.
struct WakeOnDrop(Arc<Notify>);

impl Drop for WakeOnDrop {
    fn drop(&mut self) {
        self.0.notify_one();
    }
}

/// The producing end.
pub struct Sender<T> {
    ring: rtrb::Producer<T>,
    /// Dropped after the ring's end, in the order of the fields. Rung before it, the consumer could
    /// look while the ring still counts as held, and sleep for good.
    wake: WakeOnDrop,
    overflows: Arc<AtomicU64>,
}

/// The consuming end.
pub struct Receiver<T> {
    ring: rtrb::Consumer<T>,
    notify: Arc<Notify>,
}

/// A ring that holds `capacity` values.
pub fn ring<T>(capacity: usize) -> (Sender<T>, Receiver<T>) {
    let (producer, consumer) = rtrb::RingBuffer::new(capacity);
    let notify = Arc::new(Notify::new());
    let sender = Sender {
        ring: producer,
        wake: WakeOnDrop(notify.clone()),
        overflows: Arc::default(),
    };
    let receiver = Receiver {
        ring: consumer,
        notify,
    };
    (sender, receiver)
}

impl<T> Sender<T> {
    /// Adds `value`, or gives it back when the ring is full or its consumer is gone.
    pub fn push(&mut self, value: T) -> Result<(), T> {
        if self.ring.is_abandoned() {
            return Err(value);
        }
        let pushed = self.ring.push(value);
        if pushed.is_err() {
            self.overflows.fetch_add(1, Ordering::Relaxed);
        }
        self.wake.0.notify_one();
        pushed.map_err(|rtrb::PushError::Full(value)| value)
    }

    /// Counter of values that found the ring full.
    pub fn overflows(&self) -> Arc<AtomicU64> {
        self.overflows.clone()
    }
}

impl<T> Receiver<T> {
    /// The next value, or `None` when the producer is gone and the ring is empty.
    pub async fn pop(&mut self) -> Option<T> {
        loop {
            // Read before the pop: a producer that pushes and then goes must not be missed.
            let producer_dropped = self.ring.is_abandoned();
            if let Ok(value) = self.ring.pop() {
                return Some(value);
            }
            if producer_dropped {
                return None;
            }
            self.notify.notified().await;
        }
    }
}
