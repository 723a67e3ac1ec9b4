//! Failures of the fold, one at a time.

mod common;

use bundle::Bundle;
use bundle::fold::{Fold, Reason, Status, Verdict};
use bundle::record::Record;
use bundle::sign::{self, SigningKey};
use bundle::signed::SignatureError;
use common::{mira, signer, signers, text, tuya};
use std::sync::Arc;
use std::time::Duration;

/// Text of the example with another limit.
fn rate(rate: u32) -> String {
    text().replace("rate = 20", &format!("rate = {rate}"))
}

/// The version after `fold`'s head with another limit.
fn next(fold: &Fold, limit: u32, name: &str, key: &SigningKey) -> Vec<u8> {
    sign::sign_text(fold.head().map(|b| &**b), &rate(limit), name, key).unwrap()
}

/// A fold with `count` versions and their records.
fn folded(count: u32) -> (Fold, Vec<Vec<u8>>) {
    let mut fold = Fold::new(signers());
    let mut log = Vec::new();
    for i in 0..count {
        let body = next(&fold, 100 + i, "mira", &mira());
        assert!(matches!(
            fold.apply(u64::from(i), &body),
            Verdict::Accepted(_)
        ));
        log.push(body);
    }
    (fold, log)
}

fn checkpoint(fold: &Fold) -> Vec<u8> {
    fold.checkpoint(Duration::ZERO).unwrap()
}

fn number(fold: &Fold) -> u64 {
    fold.head().map_or(0, |b| b.number)
}

fn records(log: &[Vec<u8>], first: usize) -> impl Iterator<Item = (u64, &[u8])> {
    let numbered = log.iter().enumerate().skip(first);
    numbered.map(|(i, b)| (i as u64, b.as_slice()))
}

/// Two operators sign a child of the same head; both are sound. The first in the
/// log wins on every node. The other's publisher learns who won, to look at that version first.
#[test]
fn the_first_child_wins() {
    let (mut fold, _) = folded(1);
    let a = next(&fold, 7, "mira", &mira());
    let b = next(&fold, 8, "tuya", &tuya());
    assert!(matches!(fold.apply(1, &b), Verdict::Accepted(_)));
    let Verdict::Lost { head: Some(head) } = fold.apply(2, &a) else {
        panic!("two children of one head");
    };
    assert_eq!((head.number, head.signer.as_str()), (2, "tuya"));
    let header = Record::decode(&a).unwrap().envelope().header.clone();
    let Status::Lost(winner) = fold.status(&header) else {
        panic!("a lost version doesn't stand");
    };
    assert_eq!((winner.signer.as_str(), winner.offset), ("tuya", Some(1)));
}

/// An operator undoes a change, so the text and its digest recur. Somebody appends the old
/// version again; its parent's digest is the head's. Its number is signed too and doesn't fit.
#[test]
fn an_old_version_does_not_fit_again() {
    let (mut fold, _) = folded(1);
    let change = next(&fold, 7, "mira", &mira());
    fold.apply(1, &change);
    let undo = next(&fold, 100, "mira", &mira());
    fold.apply(2, &undo);
    let parent = Record::decode(&change).unwrap().envelope().header.parent;
    assert_eq!(fold.head().unwrap().digest, parent);
    assert!(matches!(fold.apply(3, &change), Verdict::Repeated));
    let mut late = Fold::new(signers());
    late.adopt(&checkpoint(&fold));
    assert!(!matches!(late.apply(4, &change), Verdict::Accepted(_)));
    assert_eq!(number(&late), 3);
}

/// A version by someone the settings don't name, by a key that isn't the named person's, and by
/// a key that the settings revoke: each is refused and counted apart, since operators look for
/// a typing mistake, a stolen name, or a person who left.
#[test]
fn distrusted_signers_are_refused() {
    let (mut fold, _) = folded(1);
    let unknown = next(&fold, 7, "bat", &sign::key_from_seed([9; 32]));
    let wrong = next(&fold, 7, "mira", &sign::key_from_seed([9; 32]));
    assert!(refused(
        &fold.apply(1, &unknown),
        SignatureError::UnknownSigner
    ));
    assert!(refused(
        &fold.apply(2, &wrong),
        SignatureError::WrongSignature
    ));
    let counters = fold.counters();
    assert_eq!((counters.unknown_signer, counters.wrong_signature), (1, 1));

    let mut trusted = signers();
    trusted[0].revoked = true;
    let mut strict = Fold::new(trusted);
    let first = sign::sign_text(None, text(), "mira", &mira()).unwrap();
    assert!(refused(
        &strict.apply(0, &first),
        SignatureError::RevokedSigner
    ));
    assert_eq!(strict.counters().revoked_signer, 1);
    assert!(strict.head().is_none());
}

fn refused(verdict: &Verdict, expected: SignatureError) -> bool {
    matches!(verdict, Verdict::Refused(Reason::Signature(d)) if *d == expected)
}

/// A record without a signature, or without a signer, is unreadable: nothing falls back to a
/// usual value.
#[test]
fn missing_signatures_are_refused() {
    let (mut fold, log) = folded(1);
    for missing in ["signature", "signer", "parent", "result"] {
        let mut json: serde_json::Value = serde_json::from_slice(&log[0]).unwrap();
        let envelope = json["version"]["envelope"].as_object_mut().unwrap();
        envelope.remove(missing).unwrap();
        let verdict = fold.apply(fold.next_offset(), &serde_json::to_vec(&json).unwrap());
        assert!(
            matches!(verdict, Verdict::Refused(Reason::Record(_))),
            "{missing}"
        );
    }
    assert_eq!(fold.counters().unreadable, 4);
}

/// The bundle in force revokes a key. Its holder's next version is refused though the settings
/// still trust the key, and nobody can take the revocation back by signing an old file again.
#[test]
fn a_revoked_key_stays_revoked() {
    let (mut fold, _) = folded(1);
    let list = |mira_revoked: &str| {
        let key = |k: &SigningKey| sign::public_key_hex(k);
        format!(
            "{}\n[signer mira]\nkey = {}\nrevoked = {mira_revoked}\n[signer tuya]\nkey = {}\n",
            text(),
            key(&mira()),
            key(&tuya())
        )
    };
    let head = |fold: &Fold| fold.head().unwrap().clone();
    let revoke = signed(&head(&fold), &list("yes"), "tuya", &tuya()).unwrap();
    assert!(matches!(fold.apply(1, &revoke), Verdict::Accepted(_)));
    let back = signed(&head(&fold), &rate(9), "mira", &mira());
    assert!(
        matches!(back, Err(sign::Error::Bundle(_))),
        "not even signed by the tool"
    );
    let more = list("yes").replace("rate = 20", "rate = 9");
    let by_revoked = signed(&head(&fold), &more, "mira", &mira()).unwrap();
    assert!(refused(
        &fold.apply(2, &by_revoked),
        SignatureError::RevokedSigner
    ));
    let undone = signed(&head(&fold), &list("no"), "tuya", &tuya());
    assert!(matches!(undone, Err(sign::Error::Bundle(_))));

    // The fold itself refuses it too, should another tool have signed it.
    let parent = head(&fold);
    let mut child: Bundle = list("no").parse().unwrap();
    child.number = 3;
    let mut blank = Bundle::clone(&parent);
    blank.signers.clear();
    let version = sign::sign_bundle(Some(&blank), &child, "tuya", &tuya()).unwrap();
    let verdict = fold.apply(3, &Record::Version(version).encode());
    assert!(
        matches!(verdict, Verdict::Refused(Reason::Bundle(_))),
        "{verdict}"
    );
}

/// Signs `text` on `head`.
fn signed(head: &Bundle, text: &str, name: &str, key: &SigningKey) -> sign::Result<Vec<u8>> {
    sign::sign_text(Some(head), text, name, key)
}

/// Somebody on the way changes any byte of a version. It must never be accepted as another one:
/// the reader refuses it, or it still says exactly what was signed.
#[test]
fn tampered_versions_are_refused() {
    let (fold, _) = folded(1);
    let body = next(&fold, 7, "mira", &mira());
    let Verdict::Accepted(signed) = fold.clone().apply(1, &body) else {
        panic!("the version itself is sound");
    };
    for i in 0..body.len() {
        for flip in [1, 2, 16, 32] {
            let mut changed = body.clone();
            changed[i] ^= flip;
            let mut fold = fold.clone();
            if let Verdict::Accepted(bundle) = fold.apply(1, &changed) {
                assert_eq!(bundle.digest, signed.digest, "byte {i} ^ {flip}");
                assert_eq!(bundle.signer, "mira");
            }
        }
    }
}

/// A node was cut off from the log for so long that records which it hasn't read were dropped.
/// What then looks like a child of its head may have lost. It judges nothing until a checkpoint
/// accounts for what is missing, then goes back and judges what came after that.
#[test]
fn a_gap_is_closed_by_a_checkpoint_only() {
    let (mut old, _) = folded(2);
    let (mut writer, mut log) = folded(6);
    log.push(checkpoint(&writer));
    for limit in [1, 2] {
        let body = next(&writer, limit, "tuya", &tuya());
        writer.apply(log.len() as u64, &body);
        log.push(body);
    }
    // Records 0..=4 are gone; 5 is version 6, 6 the checkpoint, 7 and 8 versions 7 and 8.
    let verdicts = old.apply_page(5, records(&log, 5));
    assert!(matches!(verdicts[0].1, Verdict::Unjudged));
    assert!(matches!(verdicts[1].1, Verdict::Adopted(_)));
    assert_eq!(number(&old), 8);
    let mut fresh = Fold::new(signers());
    fresh.apply_page(5, records(&log[..6], 5));
    assert!(fresh.in_gap() && fresh.head().is_none());
    assert!(
        fresh.checkpoint(Duration::ZERO).is_none(),
        "who has a gap vouches for nothing"
    );
    fresh.apply_page(5, records(&log, 6));
    assert_eq!(number(&fresh), 8);
}

/// A checkpoint was written by a node that had not read the versions appended just before it.
/// A new reader must judge these too, though they are before the checkpoint in the log.
#[test]
fn versions_before_a_late_checkpoint_count() {
    let (writer, mut log) = folded(3);
    let late = checkpoint(&writer);
    let mut ahead = writer.clone();
    let body = next(&ahead, 5, "tuya", &tuya());
    ahead.apply(3, &body);
    log.push(body);
    log.push(late);
    let mut fresh = Fold::new(signers());
    let verdicts = fresh.apply_page(1, records(&log, 1));
    assert!(matches!(verdicts[3].1, Verdict::Adopted(_)));
    assert_eq!((number(&fresh), fresh.next_offset()), (3, 3));
    fresh.apply_page(1, records(&log, 3));
    assert_eq!(number(&fresh), 4);
    // Once the version is dropped, the checkpoint doesn't tell all and isn't used.
    let mut later = Fold::new(signers());
    later.apply_page(4, records(&log, 4));
    assert!(later.in_gap() && later.head().is_none());
}

/// The log is out. A node that just started gets the head from a peer, then each version that
/// the peer accepted; it passes them on to a third. When the log is back, all read on from
/// their own offsets and come to the same head, and nobody shows an older one in between.
#[test]
fn peers_give_the_head_while_the_log_is_out() {
    let (mut first, mut log) = folded(3);
    let mut second = Fold::new(signers());
    let mut third = Fold::new(signers());
    spread(&first, &mut second);
    spread(&second, &mut third);
    assert_eq!((number(&second), number(&third)), (3, 3));
    let body = next(&first, 9, "tuya", &tuya());
    first.apply(3, &body);
    log.push(body);
    assert_eq!(
        first.records_since(3),
        vec![Arc::<[u8]>::from(&log[3][..])],
        "a delta is enough"
    );
    spread(&first, &mut second);
    spread(&second, &mut third);
    for (offset, body) in records(&log, 0) {
        third.apply(offset, body);
        assert_eq!(number(&third), 4);
    }
    assert_eq!(third.log_head(), third.head());
    assert_eq!(third.counters().conflicts, 0);
    assert!(third.check_all().is_empty());
}

fn spread(from: &Fold, to: &mut Fold) {
    let number = to.head().map_or(0, |b| b.number);
    for body in from.records_since(number) {
        to.adopt(&body);
    }
}

/// A faulty peer gives the loser of a race as its head. The node uses it, for it is signed and
/// higher, until the log shows which version won; the log's order decides, and it is counted.
#[test]
fn the_log_overrules_a_peer() {
    let (mut fold, _) = folded(1);
    let winner = next(&fold, 7, "mira", &mira());
    let loser = next(&fold, 8, "tuya", &tuya());
    assert!(matches!(fold.adopt(&loser), Verdict::Adopted(_)));
    assert_eq!(fold.head().unwrap().signer, "tuya");
    let mut peer = fold.clone();
    assert!(matches!(fold.apply(1, &winner), Verdict::Accepted(_)));
    assert_eq!(fold.head().unwrap().signer, "mira");
    let contradiction = peer.adopt(&fold.encode_head().unwrap());
    assert!(matches!(
        contradiction,
        Verdict::Refused(Reason::Conflict(2))
    ));
    assert_eq!(peer.counters().conflicts, 1);
    assert!(matches!(fold.apply(2, &loser), Verdict::Lost { .. }));
    assert_eq!(fold.counters().conflicts, 1);
}

/// Peers that are behind, whose state nobody trusted signed, or who give garbage, change nothing.
#[test]
fn useless_heads_of_peers_change_nothing() {
    let (old, log) = folded(2);
    let (mut fold, _) = folded(4);
    assert!(matches!(fold.adopt(&checkpoint(&old)), Verdict::Stale));
    assert!(matches!(fold.adopt(&log[1]), Verdict::Stale));
    let forger = sign::key_from_seed([9; 32]);
    let mut theirs = Fold::new(vec![signer("mira", &forger)]);
    for i in 0..6 {
        let body = next(&theirs, i + 1, "mira", &forger);
        theirs.apply(u64::from(i), &body);
    }
    let verdict = fold.adopt(&checkpoint(&theirs));
    assert!(
        refused(&verdict, SignatureError::WrongSignature),
        "{verdict}"
    );
    assert!(matches!(
        fold.adopt(b"{}"),
        Verdict::Refused(Reason::Record(_))
    ));
    assert_eq!(number(&fold), 4);
}

/// A checkpoint with a signed version that lost its race is in the log. A reader without a gap
/// knows better and counts it; it must not count as the checkpoint that saves writing one.
#[test]
fn a_contradicting_checkpoint_is_refused() {
    let (mut fold, _) = folded(2);
    let mut other = fold.clone();
    let winner = next(&fold, 7, "mira", &mira());
    let loser = next(&fold, 8, "tuya", &tuya());
    other.apply(2, &loser);
    fold.apply(2, &winner);
    let verdict = fold.apply(3, &checkpoint(&other));
    assert!(
        matches!(verdict, Verdict::Refused(Reason::Conflict(3))),
        "{verdict}"
    );
    assert_eq!(fold.last_checkpoint(), None);
    assert!(matches!(fold.apply(4, &checkpoint(&fold)), Verdict::Agreed));
    assert_eq!(fold.last_checkpoint().unwrap().offset, 4);
}

/// The log was trimmed to nothing but what peers have read: a node with the same head as a peer
/// closes its gap by the peer's word on how far that head goes.
#[test]
fn a_peer_with_the_same_head_closes_a_gap() {
    let (mut fold, _) = folded(3);
    let (mut peer, _) = folded(3);
    for offset in 3..10 {
        peer.apply(offset, b"junk");
    }
    fold.set_first_retained(9);
    assert!(fold.in_gap());
    assert!(
        matches!(fold.adopt(&peer.records_since(0)[0]), Verdict::Stale),
        "versions tell nothing"
    );
    assert!(matches!(
        fold.adopt(&checkpoint(&peer)),
        Verdict::Adopted(_)
    ));
    assert!(!fold.in_gap());
    assert_eq!(fold.next_offset(), 10);
}
