//! Random and mutated valid input to all parsers of callers' data. They return a result or an
//! error and never panic.

mod common;

use common::{BUNDLE, DUTY_KEY};
use entry::api::header::Header;
use entry::api::{chat, completion};
use http::{HeaderMap, HeaderName, HeaderValue};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SEEDS: u64 = 20_000;
/// Bytes with a meaning in the syntax of JSON or of headers, and bytes that are invalid there.
const SYNTAX_BYTES: &[u8] = b"{}[]\",:\\/-+.eE0129 \t\r\nntfu\x00\x1f\x7f\xc3\xbf\xff";
const VALID_BODIES: [&str; 4] = [
    r#"{"model":"menu","messages":[{"role":"user","content":"a"},{"role":"system","content":[{"type":"text","text":"b"}]}],"stop":["x","y"],"seed":-5,"max_tokens":7}"#,
    r#"{"model":"menu:allergen","prompt":["hello"],"stream":true,"stream_options":{"include_usage":true},"n":1,"best_of":null}"#,
    r#"{"model":"menu","prompt":"\u00e9\ud83d\ude00","stop":"\n\n","logprobs":null,"tools":[],"response_format":{"type":"text"}}"#,
    r#"{"messages":[{"role":"assistant","content":null}],"model":"m","max_completion_tokens":1e3}"#,
];
const HEADER_NAMES: [&str; 6] = [
    "authorization",
    "x-wigeonshelf-priority",
    "x-wigeonshelf-deadline-ms",
    "x-wigeonshelf-repeatable",
    "x-wigeonshelf-whole",
    "idempotency-key",
];
const HEADER_VALUES: [&str; 6] = ["alarm", "1500", "true", "false", "1764712345-a", "tk-0-0-0"];

fn byte(rng: &mut ChaCha8Rng) -> u8 {
    match rng.random_bool(0.5) {
        true => SYNTAX_BYTES[rng.random_range(0..SYNTAX_BYTES.len())],
        false => rng.random(),
    }
}

fn garbage(rng: &mut ChaCha8Rng, max_len: usize) -> Vec<u8> {
    let length = rng.random_range(0..=max_len);
    (0..length).map(|_| byte(rng)).collect()
}

/// Makes one to eight changes: inserts, removes or replaces a byte, truncates the text or repeats
/// a section.
fn mutate(rng: &mut ChaCha8Rng, text: &mut Vec<u8>) {
    for _ in 0..rng.random_range(1..=8) {
        let at = rng.random_range(0..=text.len());
        match rng.random_range(0..5) {
            0 => text.insert(at, byte(rng)),
            1 if at < text.len() => drop(text.remove(at)),
            2 if at < text.len() => text[at] = byte(rng),
            3 => text.truncate(at.max(text.len() / 2)),
            _ => {
                let part = text[at..text.len().min(at + 12)].to_vec();
                text.splice(at..at, part);
            }
        }
    }
}

#[test]
fn bodies_never_panic() {
    let mut read = 0;
    for seed in 0..SEEDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut body = match rng.random_bool(0.2) {
            true => garbage(&mut rng, 200),
            false => VALID_BODIES[rng.random_range(0..VALID_BODIES.len())]
                .as_bytes()
                .to_vec(),
        };
        mutate(&mut rng, &mut body);
        for result in [chat::read(&body), completion::read(&body)] {
            match result {
                Ok(_) => read += 1,
                Err(error) => {
                    assert!(
                        matches!(error.status.as_u16(), 400 | 422),
                        "seed {seed}: {error:?}"
                    );
                    assert!(error.json().contains(error.code));
                }
            }
        }
    }
    assert!(read > 0, "no mutated body was valid");
}

#[test]
fn headers_never_panic() {
    let mut read = 0;
    for seed in 0..SEEDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut headers = HeaderMap::new();
        let bearer = format!("Bearer {DUTY_KEY}");
        headers.insert(
            "authorization",
            HeaderValue::from_str(&bearer).expect("a value"),
        );
        for _ in 0..rng.random_range(0..4) {
            let mut value = HEADER_VALUES[rng.random_range(0..HEADER_VALUES.len())]
                .as_bytes()
                .to_vec();
            match rng.random_range(0..4) {
                0 => value = garbage(&mut rng, 300),
                1 => mutate(&mut rng, &mut value),
                _ => {}
            }
            // Values that the HTTP library rejects never reach the check.
            if let Ok(value) = HeaderValue::from_bytes(&value) {
                let name =
                    HeaderName::from_static(HEADER_NAMES[rng.random_range(0..HEADER_NAMES.len())]);
                headers.append(name, value);
            }
        }
        match Header::check(&headers, &BUNDLE) {
            Ok(_) => read += 1,
            Err(error) => assert!(matches!(error.status.as_u16(), 401 | 403 | 422)),
        }
    }
    assert!(read > 0);
}

#[test]
fn keys_never_panic() {
    for seed in 0..SEEDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut bytes = [0; 40];
        rng.fill_bytes(&mut bytes);
        let mut key = b"1764712345-a".to_vec();
        mutate(&mut rng, &mut key);
        for text in [
            String::from_utf8_lossy(&key),
            String::from_utf8_lossy(&bytes),
        ] {
            let _ = lease::claim::Key::parse("kitchens", &text);
        }
    }
}
