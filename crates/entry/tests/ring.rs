//! Bounded rings between threads.

use entry::ring::ring;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Longest time for something that must come.
const PATIENCE: Duration = Duration::from_secs(30);

#[tokio::test]
async fn full_ring_gives_the_value_back_and_counts_it() {
    let (mut sender, mut receiver) = ring(2);
    assert_eq!((sender.push(1), sender.push(2)), (Ok(()), Ok(())));
    assert_eq!((sender.push(3), sender.push(4)), (Err(3), Err(4)));
    assert_eq!(sender.full().load(Ordering::Relaxed), 2);
    assert_eq!(receiver.pop().await, Some(1));
    assert_eq!(sender.push(5), Ok(()));
    assert_eq!(
        (receiver.pop().await, receiver.pop().await),
        (Some(2), Some(5))
    );
}

#[tokio::test]
async fn ring_without_a_consumer_takes_nothing() {
    let (mut sender, receiver) = ring(2);
    drop(receiver);
    assert_eq!(sender.push(1), Err(1));
    assert_eq!(sender.full().load(Ordering::Relaxed), 0);
}

#[tokio::test]
async fn what_was_pushed_is_popped_after_the_producer_is_gone() {
    let (mut sender, mut receiver) = ring(4);
    assert_eq!((sender.push(1), sender.push(2)), (Ok(()), Ok(())));
    drop(sender);
    assert_eq!(
        (receiver.pop().await, receiver.pop().await),
        (Some(1), Some(2))
    );
    assert_eq!(receiver.pop().await, None);
}

// A consumer that sleeps through a push would stop a duty for good. The producer, on its own thread,
// pushes with the ring mostly empty, so that the consumer goes to sleep before nearly every value.
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
    tokio::time::timeout(PATIENCE, all)
        .await
        .expect("a value was slept through");
    producer.join().expect("producer");
}
