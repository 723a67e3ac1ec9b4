//! Headers of the callers' API, checked against a bundle.

mod common;

use common::{BUNDLE, DUTY_KEY, KITCHENS_KEY};
use entry::api::error::Error;
use entry::api::header::Header;
use http::{HeaderMap, HeaderName, HeaderValue};
use std::time::Duration;

fn check(key: &str, lines: &[(&'static str, &str)]) -> Result<Header, Error> {
    let mut headers = HeaderMap::new();
    let mut add = |name: &'static str, value: &str| {
        let value = HeaderValue::from_bytes(value.as_bytes()).expect("a value");
        headers.append(HeaderName::from_static(name), value);
    };
    add("authorization", &format!("Bearer {key}"));
    lines.iter().for_each(|(name, value)| add(name, value));
    Header::check(&headers, &BUNDLE)
}

fn status_and_code(result: Result<Header, Error>) -> (u16, &'static str) {
    let error = result.expect_err("an error");
    (error.status.as_u16(), error.code)
}

#[test]
fn key_alone_gives_the_defaults() {
    let header = check(KITCHENS_KEY, &[]).expect("a header");
    assert_eq!(Some(header.team), BUNDLE.team("kitchens"));
    assert_eq!(Some(header.priority), BUNDLE.priority("normal"));
    assert_eq!(
        (header.deadline, header.repeatable, header.whole),
        (None, None, false)
    );
    assert_eq!(header.idempotency_key, None);
}

#[test]
fn every_header_is_read() {
    let lines = [
        ("x-wigeonshelf-priority", "alarm"),
        ("x-wigeonshelf-deadline-ms", "1500"),
        ("x-wigeonshelf-repeatable", "false"),
        ("x-wigeonshelf-whole", "true"),
        ("idempotency-key", "1764712345-lock"),
    ];
    let header = check(DUTY_KEY, &lines).expect("a header");
    assert_eq!(Some(header.priority), BUNDLE.priority("alarm"));
    assert_eq!(header.deadline, Some(Duration::from_millis(1500)));
    assert_eq!((header.repeatable, header.whole), (Some(false), true));
    assert_eq!(header.idempotency_key.as_deref(), Some("1764712345-lock"));
}

#[test]
fn key_must_be_one_bearer_key_of_a_team() {
    let only = |value: Option<&str>| {
        let mut headers = HeaderMap::new();
        if let Some(value) = value {
            headers.insert(
                "authorization",
                HeaderValue::from_str(value).expect("a value"),
            );
        }
        status_and_code(Header::check(&headers, &BUNDLE))
    };
    let unauthorized = (401, "invalid_api_key");
    for value in [
        None,
        Some(""),
        Some("Bearer"),
        Some("Bearer "),
        Some("Bearer other"),
        Some("Basic a2V5"),
    ] {
        assert_eq!(only(value), unauthorized, "{value:?}");
    }
    // Two hops could read different ones of two keys.
    let second = format!("Bearer {DUTY_KEY}");
    assert_eq!(
        status_and_code(check(KITCHENS_KEY, &[("authorization", &second)])),
        unauthorized
    );
}

// Names of schemes are case-insensitive (RFC 9110, section 11.1), and some clients send them in
// lower case.
#[test]
fn scheme_is_case_insensitive() {
    for scheme in ["bearer", "BEARER", "Bearer"] {
        let mut headers = HeaderMap::new();
        let value = format!("{scheme} {KITCHENS_KEY}");
        headers.insert(
            "authorization",
            HeaderValue::from_str(&value).expect("a value"),
        );
        assert!(Header::check(&headers, &BUNDLE).is_ok(), "{scheme}");
    }
}

#[test]
fn errors_name_the_invalid_header() {
    let forbidden = check(KITCHENS_KEY, &[("x-wigeonshelf-priority", "alarm")]);
    assert_eq!(status_and_code(forbidden), (403, "priority_not_allowed"));
    let long = "k".repeat(257);
    let given = [
        ("x-wigeonshelf-priority", "none-such"),
        ("x-wigeonshelf-deadline-ms", "soon"),
        ("x-wigeonshelf-deadline-ms", "-1"),
        ("x-wigeonshelf-deadline-ms", "99999999999999999999999"),
        ("x-wigeonshelf-repeatable", "no"),
        ("x-wigeonshelf-whole", ""),
        ("idempotency-key", ""),
        ("idempotency-key", &long),
        ("idempotency-key", "käse"),
    ];
    for (name, value) in given {
        let error = check(DUTY_KEY, &[(name, value)]).expect_err(name);
        assert_eq!((error.status.as_u16(), error.code), (422, "invalid_value"));
        assert_eq!(error.param.as_deref(), Some(name));
    }
}

// Two hops that read different values of a repeated header would disagree on the request.
#[test]
fn repeated_header_is_rejected() {
    let twice = [
        ("x-wigeonshelf-repeatable", "false"),
        ("x-wigeonshelf-repeatable", "true"),
    ];
    assert_eq!(
        status_and_code(check(DUTY_KEY, &twice)),
        (422, "invalid_value")
    );
}
