//! Decoders and parsers with seeded random bytes and with mutated valid input.

use arbtest::arbtest;
use lease::claim::key::{Error, Key, MAX_LEN};
use lease::claim::record::{Batch, Item, MAX_BYTES};
use lease::claim::{Ticket, ticket};
use lease::group_lease::record;
use lease::{Outcome, Owner};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

const ROUNDS: usize = 20_000;

fn mutate(good: &[u8], random: &mut ChaCha8Rng) -> Vec<u8> {
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

fn garbage(random: &mut ChaCha8Rng) -> Vec<u8> {
    (0..random.random_range(0..200))
        .map(|_| random.random())
        .collect()
}

fn batch() -> Batch {
    let date = Duration::from_secs(1_764_700_000);
    let claim = Item::Claim {
        hash: u128::MAX - 5,
        date,
        fingerprint: 3,
        number: 4,
    };
    let end = Item::End {
        hash: 9,
        number: 2,
        outcome: Outcome::NotRun,
    };
    let owner = Owner {
        node: 1,
        incarnation: u64::MAX,
    };
    Batch {
        owner,
        upto: 12,
        at: date,
        items: vec![claim, end, claim],
    }
}

#[test]
fn claim_records_survive_the_round_trip() {
    let bytes = batch().encode();
    assert_eq!(Batch::decode(&bytes), Ok(batch()));
    let empty = Batch {
        items: Vec::new(),
        ..batch()
    };
    assert_eq!(Batch::decode(&empty.encode()), Ok(empty));
}

#[test]
fn bad_claim_records_are_errors_and_never_panics() {
    let mut random = ChaCha8Rng::seed_from_u64(21);
    let good = batch().encode();
    for round in 0..ROUNDS {
        let bytes = if round % 2 == 0 {
            mutate(&good, &mut random)
        } else {
            garbage(&mut random)
        };
        if let Ok(batch) = Batch::decode(&bytes) {
            assert_eq!(Batch::decode(&batch.encode()), Ok(batch));
        }
    }
    assert!(Batch::decode(&vec![1; MAX_BYTES + 1]).is_err());
    assert!(Batch::decode(&[]).is_err());
    assert!(Batch::decode(&[good.as_ref(), &[0]].concat()).is_err());
}

#[test]
fn key_formats_are_distinguished() {
    let dated = |text| match Key::parse("desk", text) {
        Ok(Key::Dated(key)) => Ok(key.date.as_millis()),
        Ok(Key::Ticket(..)) => panic!("{text} is a ticket"),
        Err(e) => Err(e),
    };
    assert_eq!(dated("1764700000-lock-7"), Ok(1_764_700_000_000));
    assert_eq!(
        dated("019ac2b5-3b80-7cc1-8000-0123456789ab"),
        Ok(0x019a_c2b5_3b80)
    );
    assert_eq!(
        dated("019ac2b5-3b80-4cc1-8000-0123456789ab"),
        Err(Error::Undated)
    );
    assert_eq!(dated("1764700000-"), Err(Error::Undated));
    assert_eq!(dated("lock-7"), Err(Error::Undated));
    assert_eq!(dated("ticket-1"), Err(Error::InvalidTicket));
    assert_eq!(dated(""), Err(Error::InvalidText));
    assert_eq!(dated("1764700000-a b"), Err(Error::InvalidText));
    assert_eq!(dated(&"1".repeat(MAX_LEN + 1)), Err(Error::InvalidText));
}

#[test]
fn keys_of_different_teams_have_different_hashes() {
    let hash = |team, text| Key::parse(team, text).unwrap().hash();
    assert_ne!(hash("a", "1764700000-x"), hash("b", "1764700000-x"));
    assert_ne!(hash("a1", "1764700000-x"), hash("a", "1764700000-x"));
    assert_eq!(hash("a", "1764700000-x"), hash("a", "1764700000-x"));
}

#[test]
fn tickets_have_one_text_each() {
    let owner = Owner {
        node: 0xab,
        incarnation: 7,
    };
    let ticket = Ticket {
        owner,
        issued: Duration::from_millis(255),
        number: 16,
    };
    let text = ticket.to_string();
    assert_eq!(text, "ticket-ab-7-ff-10");
    assert_eq!(text.parse(), Ok(ticket));
    for other in [
        "ticket-AB-7-ff-10",
        "ticket-0ab-7-ff-10",
        "ticket-ab-7-ff-10-0",
        "ticket-+1-7-ff-10",
    ] {
        assert_eq!(other.parse::<Ticket>(), Err(ticket::Error), "{other}");
    }
}

#[test]
fn bad_keys_are_errors_and_never_panics() {
    let mut random = ChaCha8Rng::seed_from_u64(22);
    let goods = [
        "1764700000-a",
        "019ac2b5-3b80-7cc1-8000-0123456789ab",
        "ticket-ab-7-ff-10",
    ];
    for round in 0..ROUNDS {
        let bytes = mutate(goods[round % 3].as_bytes(), &mut random);
        let text = String::from_utf8_lossy(&bytes);
        if let Ok(Key::Ticket(ticket, _)) = Key::parse("desk", &text) {
            assert_eq!(ticket.to_string(), text);
        }
    }
}

fn lease_record() -> record::Record {
    let owner = Owner {
        node: 300,
        incarnation: 9,
    };
    let take = record::Item::Acquire {
        group: u64::MAX,
        number: 1,
        upto: 70_000,
        stop: 4,
    };
    let give = record::Item::Release {
        group: 3,
        number: 2,
    };
    record::Record {
        owner,
        items: vec![take, give],
    }
}

#[test]
fn bad_lease_records_are_errors_and_never_panics() {
    let good = lease_record().encode();
    assert_eq!(record::Record::decode(&good), Ok(lease_record()));
    let mut random = ChaCha8Rng::seed_from_u64(23);
    for round in 0..ROUNDS {
        let bytes = if round % 2 == 0 {
            mutate(&good, &mut random)
        } else {
            garbage(&mut random)
        };
        if let Ok(record) = record::Record::decode(&bytes) {
            assert!(record.items.len() <= record::MAX_ITEMS);
        }
    }
    assert!(record::Record::decode(&vec![1; record::MAX_BYTES + 1]).is_err());
}

/// Decodes arbitrary bytes and text that `arbtest` generates from fixed seeds.
#[test]
fn any_bytes_are_taken_or_refused_without_a_panic() {
    for seed in 0..500 {
        arbtest(|u| {
            let bytes: Vec<u8> = u.arbitrary()?;
            let text: String = u.arbitrary()?;
            let _ = Batch::decode(&bytes);
            let _ = record::Record::decode(&bytes);
            let _ = Key::parse("desk", &text);
            Ok(())
        })
        .seed(seed);
    }
}
