//! Deltas between random sets of sections.

mod common;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use bundle::delta::{Delta, Mismatch};
use bundle::record::Record;
use bundle::section::Key;
use bundle::sections::Sections;
use bundle::sign;
use bundle::signed::{Header, Version};
use common::mira;
use std::fmt::Write;

/// Number of runs of each property, and number of random bytes in each; every run has its own fixed
/// seed.
const RUNS: u64 = 400;
const BYTES: u64 = 256;

fn runs(property: fn(&mut Unstructured<'_>) -> Result<()>) {
    for run in 1..=RUNS {
        arbtest(property).seed((run << 32) | BYTES);
    }
}

/// Generates some of 12 sections, each with one of three values, in one of several equivalent
/// spellings.
fn sections(u: &mut Unstructured<'_>) -> Result<Sections> {
    let mut text = String::new();
    for name in 0..12 {
        let space = *u.choose(&["", " ", "\t "])?;
        let _ = match u.int_in_range(0..=3)? {
            0 => Ok(()),
            v if name % 2 == 0 => writeln!(text, "[zone z{name}]{space}\nregion{space}={space}{v}"),
            v => writeln!(
                text,
                "[link b{space} a{name}]\n;{v}\nlatency:{space}{v}  s{space}"
            ),
        };
    }
    Ok(bundle::text::parse(&text).unwrap())
}

/// The delta between two sets of sections turns the first into the second, is empty exactly if both
/// are equal, does not depend on the spelling of the text, and survives a round trip through its
/// record.
#[test]
fn a_delta_leads_from_one_to_the_other() {
    runs(|u| {
        let (from, to) = (sections(u)?, sections(u)?);
        let delta = Delta::between(&from, &to);
        assert_eq!(delta.apply(&from).unwrap(), to);
        assert_eq!(delta.is_empty(), from.digest() == to.digest());
        assert_eq!(
            from.digest() == to.digest(),
            from.to_string() == to.to_string()
        );
        let header = Header {
            signer: "mira".into(),
            number: u.arbitrary()?,
            parent: from.digest(),
            result: to.digest(),
            delta: delta.digest(),
        };
        let envelope = sign::sign_header(header, &mira());
        let record = Record::Version(Version { envelope, delta });
        assert_eq!(Record::decode(&record.encode()).unwrap(), record);
        Ok(())
    });
}

/// Different deltas have different digests, so a signature can't be transferred to another delta.
#[test]
fn different_deltas_have_different_digests() {
    runs(|u| {
        let a = Delta::between(&sections(u)?, &sections(u)?);
        let b = Delta::between(&sections(u)?, &sections(u)?);
        assert_eq!(a == b, a.digest() == b.digest());
        Ok(())
    });
}

/// A delta that removes a section which its parent does not have, or that both sets and removes a
/// section, can't be applied.
#[test]
fn deltas_that_do_not_fit() {
    let with = bundle::text::parse("[zone a]\nregion = r\n").unwrap();
    let removal = Delta::between(&with, &Sections::default());
    let key: Key = "zone a".parse().unwrap();
    let missing = removal.apply(&Sections::default());
    assert_eq!(missing, Err(Mismatch::Missing(key.clone())));
    let mut both = Delta::between(&Sections::default(), &with);
    both.removed.insert(key.clone());
    assert_eq!(both.apply(&with), Err(Mismatch::Both(key)));
}
