//! Decoders of the crate against seeded random bytes and mutated valid input: each returns an error
//! or a valid value, never panics, and uses no more memory than a small multiple of the input.

mod common;

use bundle::Bundle;
use bundle::fold::Fold;
use bundle::record::{MAX_RECORD_LEN, Record};
use bundle::{finding, section, sign, text};
use common::{mira, signers, text};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

const RUNS: u64 = 3_000;

/// Inserted fragments with which mutated input passes the first check of a decoder.
const PIECES: [&str; 14] = [
    "[",
    "]",
    "=",
    "\n",
    ", ",
    "..",
    "\"",
    "{",
    "\\u0000",
    "[team x]\n",
    "[link a b]\n",
    "\r",
    "999999999999999999999",
    "é",
];

/// Applies one to three mutations: truncation, a random byte, an inserted fragment, or a repeated
/// part.
fn mutate(random: &mut ChaCha8Rng, good: &[u8]) -> Vec<u8> {
    let mut bytes = good.to_vec();
    for _ in 0..random.random_range(1..4) {
        let at = random.random_range(0..=bytes.len());
        match random.random_range(0..4) {
            0 => bytes.truncate(at),
            1 if at < bytes.len() => bytes[at] = random.random(),
            2 => {
                let piece = PIECES[random.random_range(0..PIECES.len())];
                bytes.splice(at..at, piece.bytes());
            }
            _ => {
                let to = (at + random.random_range(0..200)).min(bytes.len());
                let part = bytes[at..to].to_vec();
                bytes.splice(at..at, part);
            }
        }
    }
    bytes
}

fn garbage(random: &mut ChaCha8Rng) -> Vec<u8> {
    let mut bytes = vec![0; random.random_range(0..600)];
    random.fill_bytes(&mut bytes);
    bytes
}

/// Returns valid records: a version and a checkpoint.
fn records() -> [Vec<u8>; 2] {
    let version = sign::sign_text(None, text(), "mira", &mira()).unwrap();
    let mut fold = Fold::new(signers());
    fold.apply(0, &version);
    let checkpoint = fold.checkpoint(Duration::from_secs(5)).unwrap();
    [version, checkpoint]
}

#[test]
fn bundle_text() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut sound = 0;
    for run in 0..RUNS {
        let bytes = if run % 4 == 0 {
            garbage(&mut random)
        } else {
            mutate(&mut random, text().as_bytes())
        };
        let input = String::from_utf8_lossy(&bytes);
        match input.parse::<Bundle>() {
            Ok(bundle) => {
                sound += 1;
                // A valid bundle is unchanged after a round trip through its canonical text.
                let again: Bundle = bundle.sections.to_string().parse().unwrap();
                assert_eq!(again.digest, bundle.digest);
                assert_eq!(again.endpoints, bundle.endpoints);
            }
            Err(findings) => {
                assert!(findings.has_errors());
                assert!(findings.rows().len() <= finding::MAX_FINDINGS);
                let long = findings.rows().iter().find(|f| f.message.len() > 1_000);
                assert_eq!(long, None);
            }
        }
    }
    assert!(
        sound > 0,
        "no mutated text was valid, so few passed the first check"
    );
}

#[test]
fn log_records() {
    let mut random = ChaCha8Rng::seed_from_u64(2);
    let good = records();
    let mut fold = Fold::new(signers());
    for run in 0..RUNS {
        let bytes = match run % 4 {
            0 => garbage(&mut random),
            n => mutate(&mut random, &good[n as usize % 2]),
        };
        if let Ok(record) = Record::decode(&bytes) {
            let encoded = record.encode();
            assert_eq!(Record::decode(&encoded).unwrap(), record);
        }
        fold.apply(fold.next_offset(), &bytes);
        fold.adopt(&bytes);
        if run % 100 == 0 {
            fold.set_first_retained(fold.next_offset() + 1);
        }
        assert!(fold.check().is_empty());
    }
}

/// Oversize input is refused before it is parsed; a text that consists of unknown sections, or one
/// with an unknown name in every row, yields a bounded number of findings in bounded time.
#[test]
fn large_inputs() {
    let long = vec![b' '; MAX_RECORD_LEN + 1];
    assert!(Record::decode(&long).is_err());
    assert!(text::parse(&" ".repeat(text::MAX_TEXT_LEN + 1)).is_err());
    let many: String = (0..50_000).map(|i| format!("[x{i}]\n")).collect();
    let findings = text::parse(&many).unwrap_err();
    assert_eq!(findings.rows().len(), finding::MAX_FINDINGS);
    let rows = (0..20_000).map(|i| format!("[endpoint e{i}]\nzone = nowhere{i}\n"));
    let zones = (0..20_000).map(|i| format!("[zone somewhere{i}]\nregion = r\n"));
    let unknown: String = rows.chain(zones).collect();
    let findings = unknown.parse::<Bundle>().unwrap_err();
    assert_eq!(findings.rows().len(), finding::MAX_FINDINGS);
    let deep = "[".repeat(200_000);
    assert!(Record::decode(deep.as_bytes()).is_err());
    assert!(!section::is_name(&"n".repeat(section::MAX_NAME_LEN + 1)));
}

#[test]
fn keys() {
    let mut random = ChaCha8Rng::seed_from_u64(3);
    let pem = sign::to_pem(&mira()).unwrap();
    assert_eq!(sign::from_pem(&pem).unwrap().to_bytes(), [1; 32]);
    for _ in 0..RUNS {
        let bytes = mutate(&mut random, pem.as_bytes());
        let _ = sign::from_pem(&String::from_utf8_lossy(&bytes));
    }
}
