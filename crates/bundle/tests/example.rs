//! The example bundle, from its text to the head of a fold.

mod common;

use bundle::fold::{Fold, Verdict};
use common::{mira, signers, text};

/// The example file that operators start from must yield no findings, not even a warning.
#[test]
fn example_is_sound() {
    let sections = bundle::text::parse(text()).unwrap();
    let report = bundle::verify::verify(&sections);
    assert!(report.findings.is_empty(), "{}", report.findings);
    let bundle = report.bundle.unwrap();
    assert_eq!(bundle.endpoints.len(), 7);
    assert_eq!(bundle.priorities[0].name, "alarm");
    let team = bundle.team_by_key(&bundle::sign::bearer_digest("menu-demo-key"));
    assert_eq!(team, bundle.team("kitchens"));
}

#[test]
fn canonical_text_reads_back() {
    let sections = bundle::text::parse(text()).unwrap();
    let again = bundle::text::parse(&sections.to_string()).unwrap();
    assert_eq!(again, sections);
    assert_eq!(again.to_string(), sections.to_string());
    assert_eq!(again.digest(), sections.digest());
}

#[test]
fn signed_versions_become_the_head() {
    let mut fold = Fold::new(signers());
    let first = bundle::sign::sign_text(None, text(), "mira", &mira()).unwrap();
    assert!(matches!(fold.apply(0, &first), Verdict::Accepted(_)));
    let head = fold.head().unwrap().clone();
    assert_eq!((head.number, head.signer.as_str()), (1, "mira"));

    let next = text().replace("rate = 20", "rate = 25");
    let second = bundle::sign::sign_text(Some(&head), &next, "mira", &mira()).unwrap();
    assert!(second.len() < 1_024, "the delta is not small");
    assert!(matches!(fold.apply(1, &second), Verdict::Accepted(_)));
    assert!(matches!(fold.apply(2, &second), Verdict::Repeated));
    assert!(matches!(fold.apply(3, &first), Verdict::Repeated));
    let head = fold.head().unwrap();
    assert_eq!(head.number, 2);
    assert_eq!(
        head.to_string().parse::<bundle::Bundle>().unwrap().digest,
        head.digest
    );
    assert!(fold.check_all().is_empty());
    let dump = fold.to_string();
    let expected = format!(
        "version 2 by mira digest {}\nfolded to version 2, next",
        head.digest
    );
    assert!(dump.starts_with(&expected), "{dump}");
    assert!(
        dump.contains("\naccepted 2\nlost 0\nrepeated 2\n"),
        "{dump}"
    );
}
