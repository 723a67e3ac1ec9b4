//! Decoders of platform answers fed with seeded garbage and mutated good input.

use bytes::Bytes;
use platform::format::{Allowed, Appended, Instances, Item, Page, decode_json};
use platform::instance::{Instance, State};
use platform::log;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const ROUNDS: usize = 20_000;

fn page(records: u64) -> log::Page {
    let record = |offset| log::Record {
        offset,
        body: Bytes::from(vec![7; 40]),
    };
    log::Page {
        first: 3,
        next: 5 + records,
        records: (5..5 + records).map(record).collect(),
    }
}

fn mutate(good: &[u8], random: &mut StdRng) -> Vec<u8> {
    let mut bytes = good.to_vec();
    for _ in 0..random.random_range(1..6) {
        let at = random.random_range(0..bytes.len().max(1));
        match random.random_range(0..3) {
            0 if at < bytes.len() => bytes[at] = random.random(),
            1 => bytes.truncate(at.max(1)),
            _ => bytes.insert(at.min(bytes.len()), random.random()),
        }
    }
    bytes
}

fn garbage(random: &mut StdRng) -> Vec<u8> {
    (0..random.random_range(0..200))
        .map(|_| random.random())
        .collect()
}

/// What a checked page promises to a reader: no hole, and `next` right after the last record.
fn is_consistent(page: &log::Page) -> bool {
    let mut offsets = page.records.iter().map(|r| r.offset);
    let first = offsets.next();
    let last = first.map(|f| offsets.fold(f, |last, o| if o == last + 1 { o } else { u64::MAX }));
    last.is_none_or(|last| last != u64::MAX && last + 1 == page.next) && page.next >= page.first
}

#[test]
fn pages_survive_the_round_trip() {
    for records in [0, 1, 9] {
        let bytes = Page::from(page(records)).encode();
        let back = log::Page::try_from(Page::decode(&bytes).unwrap()).unwrap();
        assert_eq!(back, page(records));
    }
}

#[test]
fn bad_pages_are_errors_and_never_panics() {
    let mut random = StdRng::seed_from_u64(11);
    let good = Page::from(page(9)).encode();
    let mut accepted = 0;
    for round in 0..ROUNDS {
        let bytes = if round % 2 == 0 {
            mutate(&good, &mut random)
        } else {
            garbage(&mut random)
        };
        let Ok(page) = Page::decode(&bytes).and_then(log::Page::try_from) else {
            continue;
        };
        assert!(is_consistent(&page), "{page:?}");
        accepted += 1;
    }
    // Mutations within a body are as good as any other body.
    assert!(accepted > 0 && accepted < ROUNDS);
}

/// A page that claims a body of gigabytes: the decoder gives up before it takes the memory.
#[test]
fn a_length_beyond_the_bound_is_an_error() {
    let mut bytes = vec![0, 1, 1, 0, 253];
    bytes.extend(u64::MAX.to_le_bytes());
    assert!(Page::decode(&bytes).is_err());
}

#[test]
fn a_page_with_a_hole_is_an_error() {
    let mut raw = Page::from(page(3));
    raw.records.remove(1);
    assert!(log::Page::try_from(raw.clone()).is_err());
    raw.records.clear();
    raw.next = 2;
    assert!(log::Page::try_from(raw).is_err());
}

#[test]
fn bad_json_is_an_error_and_never_a_panic() {
    let mut random = StdRng::seed_from_u64(12);
    let instance = Instance {
        name: "n1".into(),
        state: State::Leaving,
        zone: "a".into(),
        addr: None,
    };
    let list = Instances {
        instances: vec![Item::from(&instance); 3],
    };
    let good = serde_json::to_vec(&list).unwrap();
    assert_eq!(Instance::try_from(list.instances[0].clone()), Ok(instance));
    for round in 0..ROUNDS {
        let bytes = if round % 2 == 0 {
            mutate(&good, &mut random)
        } else {
            garbage(&mut random)
        };
        if let Ok(list) = decode_json::<Instances>(&bytes) {
            list.instances
                .into_iter()
                .map(Instance::try_from)
                .for_each(|r| drop(r.ok()));
        }
        let _ = decode_json::<Appended>(&bytes);
        let _ = decode_json::<Allowed>(&bytes);
    }
}
