//! Tests of the publisher, one action at a time.

mod common;

use bundle::fold::Fold;
use bundle::publish::{Action, Event, MAX_FAILURES, Outcome, Publisher};
use bundle::sign;
use common::{mira, signers, text, tuya};

/// A log in memory without retention.
#[derive(Default)]
struct Log(Vec<Vec<u8>>);

impl Log {
    fn read(&self, fold: &mut Fold) -> Event {
        let from = fold.next_offset() as usize;
        for (i, body) in self.0.iter().enumerate().skip(from) {
            fold.apply(i as u64, body);
        }
        Event::Read { end: true }
    }

    fn append(&mut self, body: &[u8]) -> Event {
        self.0.push(body.to_vec());
        Event::Appended(self.0.len() as u64 - 1)
    }
}

/// Signs a first version with the rate limit `rate`.
fn version(rate: u32) -> Vec<u8> {
    let text = text().replace("rate = 20", &format!("rate = {rate}"));
    sign::sign_text(None, &text, "mira", &mira()).unwrap()
}

/// Runs the publisher up to its first append.
fn to_append(publish: &mut Publisher, fold: &mut Fold, log: &Log) {
    assert!(matches!(publish.start(), Action::Read { failures: 0 }));
    let read = log.read(fold);
    assert!(matches!(publish.step(fold, read), Action::Append));
}

/// The append took effect but its response was lost. Reading the log to its end shows that the
/// version is in force: the publisher must report it as accepted and not append it again.
#[test]
fn a_lost_answer_is_settled_by_reading() {
    let (mut fold, mut log) = (Fold::new(signers()), Log::default());
    let mut publish = Publisher::new(version(1)).unwrap();
    to_append(&mut publish, &mut fold, &log);
    log.append(publish.body());
    let action = publish.step(&fold, Event::Failed { unsure: true });
    assert!(matches!(action, Action::Read { failures: 1 }));
    let read = log.read(&mut fold);
    let Action::Done(Outcome::Accepted(entry)) = publish.step(&fold, read) else {
        panic!("the version in force was not reported as accepted");
    };
    assert_eq!((entry.number, entry.offset, log.0.len()), (1, Some(0), 1));
}

/// The response to an append is lost and the append takes effect late: the version is not yet in
/// the log when it is read to its end, so it is appended again, and then both copies are in the
/// log. Only one of them is accepted.
#[test]
fn a_late_effect_is_no_second_version() {
    let (mut fold, mut log) = (Fold::new(signers()), Log::default());
    let mut publish = Publisher::new(version(1)).unwrap();
    to_append(&mut publish, &mut fold, &log);
    publish.step(&fold, Event::Failed { unsure: true });
    let read = log.read(&mut fold);
    assert!(matches!(publish.step(&fold, read), Action::Append));
    log.append(&version(1));
    let appended = log.append(publish.body());
    publish.step(&fold, appended);
    let read = log.read(&mut fold);
    let Action::Done(Outcome::Accepted(entry)) = publish.step(&fold, read) else {
        panic!("the version in force was not reported as accepted");
    };
    assert_eq!((entry.offset, log.0.len()), (Some(0), 2));
    assert_eq!(fold.counters().accepted, 1);
    assert_eq!(fold.counters().repeated, 1);
}

/// Another operator's version is appended between the read of the head and the append: the outcome
/// names the winner.
#[test]
fn a_race_names_the_winner() {
    let (mut fold, mut log) = (Fold::new(signers()), Log::default());
    let mut publish = Publisher::new(version(1)).unwrap();
    to_append(&mut publish, &mut fold, &log);
    let other = sign::sign_text(None, text(), "tuya", &tuya()).unwrap();
    log.append(&other);
    let appended = log.append(publish.body());
    publish.step(&fold, appended);
    let read = log.read(&mut fold);
    let Action::Done(Outcome::Lost(winner)) = publish.step(&fold, read) else {
        panic!("the version did not lose against the earlier one");
    };
    assert_eq!((winner.signer.as_str(), winner.number), ("tuya", 1));
}

/// The log stays unavailable. Before any append the outcome is that nothing was appended. After an
/// append whose response was lost the outcome must be `Unsure`, since the version may come into
/// force later.
#[test]
fn an_outage_gives_no_false_outcome() {
    let (mut fold, log) = (Fold::new(signers()), Log::default());
    let mut publish = Publisher::new(version(1)).unwrap();
    publish.start();
    assert!(matches!(fail(&mut publish, &fold), Outcome::Failed));

    let mut publish = Publisher::new(version(1)).unwrap();
    to_append(&mut publish, &mut fold, &log);
    publish.step(&fold, Event::Failed { unsure: true });
    assert!(matches!(fail(&mut publish, &fold), Outcome::Unsure));
}

/// Fails every call until the publisher ends, and returns the outcome.
fn fail(publish: &mut Publisher, fold: &Fold) -> Outcome {
    for _ in 0..MAX_FAILURES {
        if let Action::Done(outcome) = publish.step(fold, Event::Failed { unsure: false }) {
            return outcome;
        }
    }
    panic!("the publisher did not end after {MAX_FAILURES} failed calls");
}

/// A version that can't be accepted is not appended: one by an untrusted signer, one with an
/// unknown parent, and any version while a gap in the log prevents judging it.
#[test]
fn hopeless_versions_are_not_appended() {
    let log = Log::default();
    let refused = |fold: &mut Fold, body: Vec<u8>| {
        let mut publish = Publisher::new(body).unwrap();
        publish.start();
        let read = log.read(fold);
        match publish.step(fold, read) {
            Action::Done(outcome) => outcome,
            other => panic!("{other:?}"),
        }
    };
    let forged = sign::sign_text(None, text(), "mira", &tuya()).unwrap();
    let mut fold = Fold::new(signers());
    assert!(matches!(refused(&mut fold, forged), Outcome::Refused(_)));

    let mut ahead = Fold::new(signers());
    ahead.apply(0, &version(1));
    let child = sign::sign_text(ahead.head().map(|b| &**b), text(), "mira", &mira()).unwrap();
    assert!(matches!(
        refused(&mut fold, child),
        Outcome::UnknownParent(0)
    ));

    fold.set_first_retained(10);
    assert!(matches!(refused(&mut fold, version(1)), Outcome::Gap));
    let checkpoint = ahead.encode_head().unwrap();
    assert!(
        Publisher::new(checkpoint).is_err(),
        "a checkpoint is not a version"
    );
}
