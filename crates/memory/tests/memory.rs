//! Budgets, and buffers that take their memory from them.

use arbtest::arbtest;
use bytes::Bytes;
use http_body_util::BodyExt;
use memory::budget::{Budget, Class, Part};
use memory::buffer::{Buffer, SEGMENT_BYTES};
use memory::shares::{DEFAULT_MEMORY_BYTES, MIN_MEMORY_BYTES, Shares, max_body_bytes};

/// Stores a chunk; returns false if the budget has no room for it.
fn store(buffer: &mut Buffer, chunk: &[u8], class: Class) -> bool {
    let mut chunk = Bytes::copy_from_slice(chunk);
    while !chunk.is_empty() {
        if !buffer.try_reserve(class) {
            return false;
        }
        buffer.push(&mut chunk);
    }
    true
}

// Guards against bodies that cost more than what is counted, or that change on the way.
#[test]
fn bodies_in_any_chunks_are_whole_and_counted() {
    arbtest(|u| {
        let bytes: Vec<u8> = u.arbitrary()?;
        let sizes: Vec<u16> = u.arbitrary()?;
        let declared: bool = u.arbitrary()?;
        let budget = Budget::new(1 << 20, 0);
        let expected = declared.then_some(bytes.len());
        let mut buffer = Buffer::new(budget.lease(Part::Bodies), expected);
        let (mut left, mut sizes) = (&bytes[..], sizes.iter().cycle());
        while !left.is_empty() {
            let size = sizes.next().map_or(1, |s| usize::from(*s).max(1));
            let (chunk, rest) = left.split_at(size.min(left.len()));
            assert!(store(&mut buffer, chunk, Class::Small));
            left = rest;
        }
        assert_eq!(buffer.len(), bytes.len());
        assert_eq!(buffer.cost(), budget.used());
        assert!(buffer.cost() >= bytes.len());
        assert!(buffer.cost() <= 2 * bytes.len() + SEGMENT_BYTES);
        let content = buffer.finish();
        assert_eq!(content.segments().concat(), bytes);
        let copy = content.clone();
        drop(content);
        assert_eq!(budget.used() == 0, bytes.is_empty());
        let joined = copy.into_bytes();
        assert_eq!(joined, bytes);
        assert_eq!(budget.used() == 0, bytes.is_empty());
        drop(joined);
        assert_eq!(budget.used(), 0);
        Ok(())
    });
}

// Guards against tiny chunks that each take memory of their own.
#[test]
fn tiny_chunks_cost_as_much_as_large_ones() {
    let budget = Budget::new(1 << 20, 0);
    let mut tiny = Buffer::new(budget.lease(Part::Bodies), None);
    (0..100_000).for_each(|_| assert!(store(&mut tiny, b"x", Class::Small)));
    let mut large = Buffer::new(budget.lease(Part::Bodies), None);
    assert!(store(&mut large, &[b'x'; 100_000], Class::Small));
    assert_eq!(tiny.cost(), large.cost());
}

// Guards against large bodies that take the room of ordinary requests.
#[test]
fn large_leases_leave_the_reserve() {
    let budget = Budget::new(1000, 200);
    let mut large = budget.lease(Part::Bodies);
    assert!(!large.try_grow(801, Class::Large));
    assert!(large.try_grow(800, Class::Large));
    assert!(!large.try_grow(1, Class::Large));
    let mut small = budget.lease(Part::Requests);
    assert!(small.try_grow(200, Class::Small));
    assert!(!small.try_grow(1, Class::Small));
    assert_eq!((budget.used(), budget.used_by(Part::Requests)), (1000, 200));
    large.shrink_to(100);
    assert_eq!(budget.used_by(Part::Bodies), 100);
    drop((large, small));
    assert_eq!(budget.used(), 0);
}

// Guards against memory that is taken in advance and counted twice.
#[test]
fn a_lease_that_is_taken_in_advance_is_used_first() {
    let budget = Budget::new(1 << 20, 0);
    let mut lease = budget.lease(Part::Responses);
    assert!(lease.try_grow(Buffer::cost_of(50_000), Class::Large));
    let taken = budget.used();
    let mut buffer = Buffer::new(lease, Some(50_000));
    assert!(store(&mut buffer, &[b'x'; 50_000], Class::Large));
    assert_eq!(budget.used(), taken);
    let content = buffer.finish();
    assert!(budget.used() <= taken);
    drop(content);
    assert_eq!(budget.used(), 0);
}

// Guards against a body that a proxy sends without its length, or with another one.
#[tokio::test]
async fn a_content_is_sent_whole_and_with_its_length() {
    let budget = Budget::new(1 << 20, 0);
    let mut buffer = Buffer::new(budget.lease(Part::Bodies), None);
    let bytes: Vec<u8> = (0..100_000_u32).map(|n| n as u8).collect();
    assert!(store(&mut buffer, &bytes, Class::Small));
    let body = buffer.finish().into_body();
    assert_eq!(length_of(&body), Some(100_000));
    assert_eq!(body.collect().await.unwrap().to_bytes(), bytes);
    assert_eq!(budget.used(), 0);
}

fn length_of(body: &impl http_body::Body) -> Option<u64> {
    body.size_hint().exact()
}

// Guards against shares that exceed the memory, or have no room for usual requests.
#[test]
fn shares_leave_memory_for_the_process() {
    for memory in [MIN_MEMORY_BYTES, 160 << 20, DEFAULT_MEMORY_BYTES, 8 << 30] {
        let shares = Shares::of(memory);
        assert!(shares.budget_bytes + shares.connections * (44 << 10) <= memory * 7 / 10);
        assert!(shares.reserve_bytes >= 1 << 20);
        assert!(max_body_bytes(&shares.budget()) >= 4 << 20);
    }
}
