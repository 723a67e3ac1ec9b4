//! Cutting a stream into whole events.

use gate::events::Cutter;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn cut(cutter: &mut Cutter) -> Vec<(Option<u64>, String)> {
    let events = cutter.by_ref();
    events
        .map(|e| (e.id, String::from_utf8(e.bytes.to_vec()).unwrap()))
        .collect()
}

#[test]
fn only_whole_events_come_out() {
    let mut cutter = Cutter::default();
    cutter.feed(b"id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(
        cut(&mut cutter),
        [(Some(1), "id: 1\ndata: a\n\n".to_owned())]
    );
    assert!(cutter.torn());
    cutter.feed(b"ta: b\r\n\r\nversion: 3\ndata: c\n");
    assert_eq!(
        cut(&mut cutter),
        [(Some(2), "id: 2\ndata: b\r\n\r\n".to_owned())]
    );
    cutter.feed(b"\n");
    assert_eq!(cut(&mut cutter)[0].0, None);
    assert!(!cutter.torn());
}

// Bytes arrive in pieces of any size. Whatever the cuts, the same events come out, byte by byte.
#[test]
fn pieces_of_any_size_give_the_same_events() {
    let text: String = (0..50)
        .map(|n| format!("id: {n}\ndata: {}\n\n", "x".repeat(n)))
        .collect();
    for seed in 0..100 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut cutter = Cutter::default();
        let mut out = String::new();
        let mut rest = text.as_bytes();
        let mut next = 0;
        while !rest.is_empty() {
            let (piece, after) = rest.split_at(rng.random_range(1..=rest.len().min(40)));
            rest = after;
            cutter.feed(piece);
            for (id, event) in cut(&mut cutter) {
                assert_eq!(id, Some(next));
                next += 1;
                out.push_str(&event);
            }
        }
        assert!(out == text && !cutter.torn(), "seed {seed}");
    }
}
