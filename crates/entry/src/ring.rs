//! Bounded single-producer single-consumer rings between the threads of a node.
//!
//! A full ring never blocks its producer: [`Sender::push`] counts the overflow and returns the
//! value, and each producer documents what it does then. The consumer waits for a notification
//! that is stored while it does not wait, so that no wake-up is lost.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::Notify;

/// Wakes the consumer on drop.
struct WakeOnDrop(Arc<Notify>);

impl Drop for WakeOnDrop {
    fn drop(&mut self) {
        self.0.notify_one();
    }
}

/// The producing end.
pub struct Sender<T> {
    ring: rtrb::Producer<T>,
    /// Dropped after `ring`, by the order of the fields. If the consumer were woken first, it could
    /// find the producer still present, wait again and never be woken.
    wake: WakeOnDrop,
    overflows: Arc<AtomicU64>,
}

/// The consuming end.
pub struct Receiver<T> {
    ring: rtrb::Consumer<T>,
    notify: Arc<Notify>,
}

/// Creates a ring that holds up to `capacity` values.
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
    /// Adds `value`, or returns it as the error if the ring is full or its consumer was dropped.
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

    /// Returns the counter of pushes that found the ring full.
    pub fn overflows(&self) -> Arc<AtomicU64> {
        self.overflows.clone()
    }
}

impl<T> Receiver<T> {
    /// Waits for the next value; returns `None` if the ring is empty and its producer was dropped.
    pub async fn pop(&mut self) -> Option<T> {
        loop {
            // Read before the pop: otherwise a value that the producer pushes just before its drop
            // could be missed.
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
