//! Tests of the decoders of platform responses, with random bytes and with mutations of valid
//! input, from fixed seeds.

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

fn mutate(valid: &[u8], random: &mut StdRng) -> Vec<u8> {
    let mut bytes = valid.to_vec();
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

fn random_bytes(random: &mut StdRng) -> Vec<u8> {
    (0..random.random_range(0..200))
        .map(|_| random.random())
        .collect()
}

/// Returns whether a page has the properties that readers rely on: consecutive offsets, and `next`
/// right after the last record.
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
    let valid = Page::from(page(9)).encode();
    let mut accepted = 0;
    for round in 0..ROUNDS {
        let bytes = if round % 2 == 0 {
            mutate(&valid, &mut random)
        } else {
            random_bytes(&mut random)
        };
        let Ok(page) = Page::decode(&bytes).and_then(log::Page::try_from) else {
            continue;
        };
        assert!(is_consistent(&page), "{page:?}");
        accepted += 1;
    }
    // A mutation within the body of a record yields another valid page, so some pages are accepted.
    assert!(accepted > 0 && accepted < ROUNDS);
}

/// The page claims a body of 2^64 - 1 bytes. The decoder must fail before it allocates the memory.
#[test]
fn a_length_beyond_the_limit_is_an_error() {
    let mut bytes = vec![0, 1, 1, 0, 253];
    bytes.extend(u64::MAX.to_le_bytes());
    assert!(Page::decode(&bytes).is_err());
}

#[test]
fn a_page_with_a_gap_is_an_error() {
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
    let valid = serde_json::to_vec(&list).unwrap();
    assert_eq!(Instance::try_from(list.instances[0].clone()), Ok(instance));
    for round in 0..ROUNDS {
        let bytes = if round % 2 == 0 {
            mutate(&valid, &mut random)
        } else {
            random_bytes(&mut random)
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
