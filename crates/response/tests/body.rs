//! Bodies that are collected within a budget.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body, Frame};
use memory::budget::Budget;
use response::body::{Error, FREE_BYTES, collect, discard};
use std::convert::Infallible;
use std::time::Duration;
use tokio::time::timeout;

/// Largest body.
const MAX_BYTES: usize = 256 << 10;

/// Returns a body of `count` chunks of `size` bytes.
fn chunks(count: usize, size: usize) -> impl Body<Data = Bytes, Error = Infallible> + Unpin {
    let frames = (0..count).map(move |_| Ok(Frame::data(Bytes::from(vec![b'x'; size]))));
    StreamBody::new(futures::stream::iter(frames))
}

// Guards against a body that is cut off or garbled where it goes on from its free part to its leased one.
#[tokio::test]
async fn a_body_of_any_length_is_collected_whole() {
    let budget = Budget::new(1 << 20, 0);
    for length in [0, 1, FREE_BYTES - 1, FREE_BYTES, FREE_BYTES + 1, MAX_BYTES] {
        let bytes: Vec<u8> = (0..length).map(|n| n as u8).collect();
        let body = Full::new(Bytes::from(bytes.clone()));
        assert_eq!(collect(body, MAX_BYTES, &budget).await.unwrap(), bytes);
        assert_eq!(budget.used(), 0);
    }
}

// Guards against a body that is longer than its limit, or takes the work of one by the size of its chunks.
#[tokio::test]
async fn a_body_beyond_its_limit_is_given_up() {
    let budget = Budget::new(1 << 20, 0);
    for (count, size) in [(usize::MAX, 16 << 10), (usize::MAX, 1), (usize::MAX, 0)] {
        let body = collect(chunks(count, size), MAX_BYTES, &budget).await;
        assert_eq!(body, Err(Error::TooLarge(MAX_BYTES)), "chunks of {size}");
        assert_eq!(budget.used(), 0);
    }
    let tiny = collect(chunks(2_000, 1), MAX_BYTES, &budget).await;
    assert_eq!(tiny.map(|body| body.len()), Ok(2_000));
}

// Guards against a short report that waits behind long ones, and against a long one that takes no memory.
#[tokio::test]
async fn only_long_bodies_wait_for_room() {
    let budget = Budget::new(32 << 10, 0);
    let mut others = budget.lease(memory::budget::Part::Responses);
    assert!(others.try_grow(32 << 10, memory::budget::Class::Small));
    let short = collect(chunks(1, FREE_BYTES), MAX_BYTES, &budget).await;
    assert_eq!(short.map(|body| body.len()), Ok(FREE_BYTES));
    let long = || collect(chunks(2, FREE_BYTES), MAX_BYTES, &budget);
    let waiting = timeout(Duration::from_millis(100), long()).await;
    assert!(waiting.is_err(), "taken without room");
    drop(others);
    assert_eq!(long().await.map(|body| body.len()), Ok(2 * FREE_BYTES));
}

// Guards against a body that is read without end to reuse its connection.
#[tokio::test]
async fn only_a_short_body_is_discarded() {
    assert!(discard(chunks(0, 1), 1 << 10).await);
    assert!(discard(chunks(2, 100), 1 << 10).await);
    for size in [0, 1, 1 << 10] {
        assert!(!discard(chunks(usize::MAX, size), 1 << 10).await);
    }
    let broken = StreamBody::new(futures::stream::iter([Err::<Frame<Bytes>, _>("broken")]));
    assert!(!discard(broken.boxed_unsync(), 1 << 10).await);
}
