//! Tests for splitting an event stream into events.

use gate::events::Splitter;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn take_events(splitter: &mut Splitter) -> Vec<(Option<u64>, String)> {
    let events = splitter.by_ref();
    events
        .map(|e| (e.id, String::from_utf8(e.bytes.to_vec()).unwrap()))
        .collect()
}

#[test]
fn only_complete_events_are_returned() {
    let mut splitter = Splitter::default();
    splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(
        take_events(&mut splitter),
        [(Some(1), "id: 1\ndata: a\n\n".to_owned())]
    );
    assert!(splitter.has_partial());
    splitter.feed(b"ta: b\r\n\r\nversion: 3\ndata: c\n");
    assert_eq!(
        take_events(&mut splitter),
        [(Some(2), "id: 2\ndata: b\r\n\r\n".to_owned())]
    );
    splitter.feed(b"\n");
    assert_eq!(take_events(&mut splitter)[0].0, None);
    assert!(!splitter.has_partial());
}

// Bytes arrive in pieces of any size. Wherever the stream is cut, the same events result, byte for
// byte.
#[test]
fn pieces_of_any_size_give_the_same_events() {
    let text: String = (0..50)
        .map(|n| format!("id: {n}\ndata: {}\n\n", "x".repeat(n)))
        .collect();
    for seed in 0..100 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut splitter = Splitter::default();
        let mut out = String::new();
        let mut rest = text.as_bytes();
        let mut next = 0;
        while !rest.is_empty() {
            let (piece, after) = rest.split_at(rng.random_range(1..=rest.len().min(40)));
            rest = after;
            splitter.feed(piece);
            for (id, event) in take_events(&mut splitter) {
                assert_eq!(id, Some(next));
                next += 1;
                out.push_str(&event);
            }
        }
        assert!(out == text && !splitter.has_partial(), "seed {seed}");
    }
}
