//! The ledger of contents under which endpoints crashed.

use std::time::Duration;
use steer::Timestamp;
use steer::crash::{
    CONDEMNED_RETENTION, Finding, Findings, Fingerprint, Ledger, MAX_SUSPENSION, MIN_SUSPENSION,
    SUSPECT_RETENTION, Verdict,
};

const fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn suspended_until(ledger: &Ledger, now: Timestamp, content: Fingerprint) -> Timestamp {
    match ledger.verdict(now, content) {
        Verdict::Suspended(until) => until,
        other => panic!("{other:?}"),
    }
}

// Guards against a content that crashes one endpoint after the other without a pause, until a service
// has none left.
#[test]
fn a_content_is_suspended_after_two_crashes_and_condemned_after_three() {
    let mut ledger = Ledger::default();
    assert!(ledger.record(7, 1, secs(10)));
    assert_eq!(ledger.verdict(secs(10), 7), Verdict::Allowed);
    assert!(ledger.record(7, 2, secs(11)));
    let until = suspended_until(&ledger, secs(11), 7);
    assert!(until >= secs(11) + MIN_SUSPENSION && until <= secs(11) + MAX_SUSPENSION);
    assert_eq!(ledger.verdict(until, 7), Verdict::OnTrial);
    assert!(ledger.record(7, 3, until));
    let until = until + CONDEMNED_RETENTION;
    assert_eq!(ledger.verdict(secs(20), 7), Verdict::Condemned(until));
    assert_eq!(ledger.verdict(until, 7), Verdict::Allowed);
    assert_eq!(ledger.crashes(until, 7), 0);
    assert_eq!(ledger.verdict(secs(20), 8), Verdict::Allowed);
}

// Guards against crashes that are counted twice, or that start anew, when several nodes report the same
// ones.
#[test]
fn reports_of_fewer_crashes_change_nothing() {
    let mut ledger = Ledger::default();
    assert!(ledger.record(7, 2, secs(10)));
    let before = ledger.clone();
    assert!(!ledger.record(7, 2, secs(12)));
    assert!(!ledger.record(7, 1, secs(13)));
    assert_eq!(ledger, before);
}

// Guards against a record that never expires, since each node that learns of it keeps it for the full
// time and passes it on.
#[test]
fn a_learned_record_expires_with_the_one_that_it_was_learned_from() {
    let mut ledger = Ledger::default();
    ledger.learn(7, 2, secs(100), SUSPECT_RETENTION - secs(2));
    let mut original = Ledger::default();
    original.record(7, 2, secs(98));
    assert_eq!(
        suspended_until(&ledger, secs(100), 7),
        suspended_until(&original, secs(98), 7)
    );
    assert_eq!(ledger.remaining(secs(100), 7), SUSPECT_RETENTION - secs(2));
    ledger.expire(secs(98) + SUSPECT_RETENTION);
    assert!(ledger.is_empty());
}

// Guards against memory that grows with the number of contents, and against the loss of condemned ones
// when many others are suspects.
#[test]
fn the_ledger_is_bounded_and_keeps_condemned_contents() {
    let mut ledger = Ledger::default();
    ledger.record(1, 3, secs(1));
    for content in 2..20_000 {
        ledger.record(content, 1, secs(2));
    }
    assert!(ledger.iter().count() <= 4096);
    assert!(matches!(ledger.verdict(secs(3), 1), Verdict::Condemned(_)));
}

// Guards against a worker that forgets what it has just found when a view arrives that was made before.
#[test]
fn findings_outlast_a_view_that_does_not_hold_them_yet() {
    let mut findings = Findings::default();
    assert!(findings.record(secs(10), 7, Finding::Crashed(2)));
    assert!(!findings.record(secs(10), 7, Finding::Crashed(1)));
    findings.update(secs(11), &Ledger::default());
    assert_eq!(findings.crashes(secs(11), 7), 2);
    findings.update(secs(13), &Ledger::default());
    assert_eq!(findings.crashes(secs(13), 7), 0);
    let mut published = Ledger::default();
    published.record(7, 2, secs(13));
    findings.update(secs(14), &published);
    assert!(findings.record(secs(14), 7, Finding::Completed));
    findings.update(secs(15), &published);
    assert_eq!(findings.crashes(secs(15), 7), 0);
}

// Guards against a content that returns at all nodes at once when its suspension ends.
#[test]
fn nodes_end_a_suspension_at_different_times() {
    let mut ends: Vec<Timestamp> = (0..100)
        .map(|seed| {
            let mut ledger = Ledger::new(seed);
            ledger.record(7, 2, secs(10));
            suspended_until(&ledger, secs(10), 7)
        })
        .collect();
    ends.sort();
    let first_second = ends.partition_point(|end| *end < secs(10) + MIN_SUSPENSION + secs(1));
    assert!((1..30).contains(&first_second), "{first_second}");
}

// Guards against a part of prompts that many requests share and that is refused since it was often in
// flight when endpoints crashed.
#[test]
fn a_part_that_completed_is_no_longer_counted() {
    let mut findings = Findings::default();
    findings.record(secs(10), 7, Finding::Crashed(1));
    assert!(findings.prove(secs(11), 7));
    for crashes in 1..=3 {
        assert!(!findings.record(secs(12), 7, Finding::Crashed(crashes)));
    }
    assert_eq!(findings.verdict(secs(13), || &[7]), Verdict::Allowed);
    let mut published = Ledger::default();
    published.record(7, 3, secs(14));
    published.record(8, 3, secs(14));
    assert_eq!(findings.update(secs(15), &published), [7]);
    assert_eq!(findings.verdict(secs(15), || &[7]), Verdict::Allowed);
    let until = secs(14) + CONDEMNED_RETENTION;
    assert_eq!(
        findings.verdict(secs(15), || &[7, 8]),
        Verdict::Condemned(until)
    );
}
