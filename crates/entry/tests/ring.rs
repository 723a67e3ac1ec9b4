//! Bounded rings between threads.

use entry::ring::ring;
use std::pin::Pin;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Wake, Waker};
use std::time::Duration;

/// Timeout of the transfer of all values.
const TIMEOUT: Duration = Duration::from_secs(30);

#[tokio::test]
async fn full_ring_returns_the_value_and_counts_it() {
    let (mut sender, mut receiver) = ring(2);
    assert_eq!((sender.push(1), sender.push(2)), (Ok(()), Ok(())));
    assert_eq!((sender.push(3), sender.push(4)), (Err(3), Err(4)));
    assert_eq!(sender.overflows().load(Ordering::Relaxed), 2);
    assert_eq!(receiver.pop().await, Some(1));
    assert_eq!(sender.push(5), Ok(()));
    assert_eq!(
        (receiver.pop().await, receiver.pop().await),
        (Some(2), Some(5))
    );
}

#[tokio::test]
async fn push_fails_without_a_consumer() {
    let (mut sender, receiver) = ring(2);
    drop(receiver);
    assert_eq!(sender.push(1), Err(1));
    assert_eq!(sender.overflows().load(Ordering::Relaxed), 0);
}

#[tokio::test]
async fn queued_values_are_popped_after_the_producer_is_dropped() {
    let (mut sender, mut receiver) = ring(4);
    assert_eq!((sender.push(1), sender.push(2)), (Ok(()), Ok(())));
    drop(sender);
    assert_eq!(
        (receiver.pop().await, receiver.pop().await),
        (Some(1), Some(2))
    );
    assert_eq!(receiver.pop().await, None);
}

/// A task that is polled inside its wake-up, which is the earliest that another thread could poll
/// it.
struct Eager {
    task: Mutex<Pin<Box<dyn Future<Output = Option<u32>> + Send>>>,
    result: Mutex<Option<Option<u32>>>,
}

impl Wake for Eager {
    fn wake(self: Arc<Self>) {
        let waker = Waker::from(self.clone());
        let mut context = Context::from_waker(&waker);
        let mut task = self.task.lock().expect("task");
        if let Poll::Ready(value) = task.as_mut().poll(&mut context) {
            *self.result.lock().expect("result") = Some(value);
        }
    }
}

// Guards against a consumer that never ends. If a dropped producer wakes the consumer before its
// end of the ring is marked as abandoned, the consumer may find the producer still present, wait
// again and never be woken.
#[test]
fn dropped_producer_wakes_the_consumer() {
    let (sender, mut receiver) = ring(4);
    let eager = Arc::new(Eager {
        task: Mutex::new(Box::pin(async move { receiver.pop().await })),
        result: Mutex::default(),
    });
    eager.clone().wake();
    assert_eq!(*eager.result.lock().expect("result"), None);
    drop(sender);
    assert_eq!(*eager.result.lock().expect("result"), Some(None));
}

// Guards against a consumer that misses the wake-up of a push and stops for good. The producer
// pushes on its own thread while the ring is mostly empty, so that the consumer waits before nearly
// every value.
#[tokio::test]
async fn no_wake_up_is_lost() {
    const VALUES: u32 = 20_000;
    let (mut sender, mut receiver) = ring(4);
    let producer = std::thread::spawn(move || {
        for mut value in 0..VALUES {
            while let Err(back) = sender.push(value) {
                value = back;
                std::thread::yield_now();
            }
        }
    });
    let all = async {
        for value in 0..VALUES {
            assert_eq!(receiver.pop().await, Some(value));
        }
        assert_eq!(receiver.pop().await, None);
    };
    tokio::time::timeout(TIMEOUT, all)
        .await
        .expect("the consumer missed a wake-up");
    producer.join().expect("producer");
}
