//! Tests of the fold, one failure at a time.

mod common;

use bundle::Bundle;
use bundle::fold::{Fold, Reason, Status, Verdict};
use bundle::record::Record;
use bundle::sign::{self, SigningKey};
use bundle::signed::SignatureError;
use common::{mira, signer, signers, text, tuya};
use std::sync::Arc;
use std::time::Duration;

/// Returns the example text with another rate limit.
fn rate(rate: u32) -> String {
    text().replace("rate = 20", &format!("rate = {rate}"))
}

/// Signs a child of `fold`'s head with another rate limit.
fn next(fold: &Fold, limit: u32, name: &str, key: &SigningKey) -> Vec<u8> {
    sign::sign_text(fold.head().map(|b| &**b), &rate(limit), name, key).unwrap()
}

/// Returns a fold of `count` versions, and their records.
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

/// Two operators sign a valid child of the same head. The first one in the log wins on every node.
/// The status of the other names the winner, so that its publisher can review that version first.
#[test]
fn the_first_child_wins() {
    let (mut fold, _) = folded(1);
    let a = next(&fold, 7, "mira", &mira());
    let b = next(&fold, 8, "tuya", &tuya());
    assert!(matches!(fold.apply(1, &b), Verdict::Accepted(_)));
    let Verdict::Lost { head: Some(head) } = fold.apply(2, &a) else {
        panic!("the second child of one head did not lose");
    };
    assert_eq!((head.number, head.signer.as_str()), (2, "tuya"));
    let header = Record::decode(&a).unwrap().envelope().header.clone();
    let Status::Lost(winner) = fold.status(&header) else {
        panic!("status of the losing version is not `Lost`");
    };
    assert_eq!((winner.signer.as_str(), winner.offset), ("tuya", Some(1)));
}

/// An operator reverts a change, so the text and its digest recur. If the old version is appended
/// again, its parent digest equals the head's digest; it must still not be accepted, since its
/// signed number does not follow the head.
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

/// Versions by a signer that the settings don't name, by a key that isn't the named signer's, and
/// by a key that the settings revoke are refused and counted separately: the causes are a typing
/// mistake, a stolen name, and a person who left.
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

/// A record without a signature, signer, parent or result is unreadable: no field of the envelope
/// falls back to a default value.
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

/// The bundle in force revokes a key that the settings still trust. The next version signed with
/// the key is refused, and signing an old file again can't undo the revocation.
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
        "the signing tool refuses it too"
    );
    let more = list("yes").replace("rate = 20", "rate = 9");
    let by_revoked = signed(&head(&fold), &more, "mira", &mira()).unwrap();
    assert!(refused(
        &fold.apply(2, &by_revoked),
        SignatureError::RevokedSigner
    ));
    let undone = signed(&head(&fold), &list("no"), "tuya", &tuya());
    assert!(matches!(undone, Err(sign::Error::Bundle(_))));

    // The fold itself also refuses such a version if another tool has signed it.
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

/// A byte of a version is changed in transit. The version must not be accepted with different
/// content: the fold refuses it, or its content still equals what was signed.
#[test]
fn tampered_versions_are_refused() {
    let (fold, _) = folded(1);
    let body = next(&fold, 7, "mira", &mira());
    let Verdict::Accepted(signed) = fold.clone().apply(1, &body) else {
        panic!("the unchanged version is valid");
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

/// A node was cut off from the log for so long that records which it hasn't read were dropped. A
/// version that looks like a child of its head may have lost. The node judges no version until a
/// checkpoint covers the missing records, then goes back and judges the records after these.
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
    // Records 0..=4 were dropped; 5 is version 6, 6 the checkpoint, 7 and 8 are versions 7 and 8.
    let verdicts = old.apply_page(5, records(&log, 5));
    assert!(matches!(verdicts[0].1, Verdict::Unjudged));
    assert!(matches!(verdicts[1].1, Verdict::Adopted(_)));
    assert_eq!(number(&old), 8);
    let mut new_reader = Fold::new(signers());
    new_reader.apply_page(5, records(&log[..6], 5));
    assert!(new_reader.in_gap() && new_reader.head().is_none());
    assert!(
        new_reader.checkpoint(Duration::ZERO).is_none(),
        "a node with a gap writes no checkpoint"
    );
    new_reader.apply_page(5, records(&log, 6));
    assert_eq!(number(&new_reader), 8);
}

/// A checkpoint was written by a node that had not read the versions appended just before it. A new
/// reader must judge these versions too, although they precede the checkpoint in the log.
#[test]
fn versions_before_a_late_checkpoint_count() {
    let (writer, mut log) = folded(3);
    let late = checkpoint(&writer);
    let mut ahead = writer.clone();
    let body = next(&ahead, 5, "tuya", &tuya());
    ahead.apply(3, &body);
    log.push(body);
    log.push(late);
    let mut new_reader = Fold::new(signers());
    let verdicts = new_reader.apply_page(1, records(&log, 1));
    assert!(matches!(verdicts[3].1, Verdict::Adopted(_)));
    assert_eq!((number(&new_reader), new_reader.next_offset()), (3, 3));
    new_reader.apply_page(1, records(&log, 3));
    assert_eq!(number(&new_reader), 4);
    // Once the version is dropped, the checkpoint no longer covers the gap and isn't used.
    let mut later = Fold::new(signers());
    later.apply_page(4, records(&log, 4));
    assert!(later.in_gap() && later.head().is_none());
}

/// The log is unavailable. A recently started node receives the head from a peer, then each version
/// that the peer accepts, and forwards both to a third node. When the log is available again, the
/// third node reads it from its own offset, reaches the same head and never shows an older one.
#[test]
fn peers_give_the_head_while_the_log_is_out() {
    let (mut first, mut log) = folded(3);
    let mut second = Fold::new(signers());
    let mut third = Fold::new(signers());
    send_to_peer(&first, &mut second);
    send_to_peer(&second, &mut third);
    assert_eq!((number(&second), number(&third)), (3, 3));
    let body = next(&first, 9, "tuya", &tuya());
    first.apply(3, &body);
    log.push(body);
    assert_eq!(
        first.records_since(3),
        vec![Arc::<[u8]>::from(&log[3][..])],
        "a peer one version behind gets the delta"
    );
    send_to_peer(&first, &mut second);
    send_to_peer(&second, &mut third);
    for (offset, body) in records(&log, 0) {
        third.apply(offset, body);
        assert_eq!(number(&third), 4);
    }
    assert_eq!(third.log_head(), third.head());
    assert_eq!(third.counters().conflicts, 0);
    assert!(third.check_all().is_empty());
}

fn send_to_peer(from: &Fold, to: &mut Fold) {
    let number = to.head().map_or(0, |b| b.number);
    for body in from.records_since(number) {
        to.adopt(&body);
    }
}

/// A faulty peer sends the loser of a race as its head. The node uses it, since it is signed and
/// higher, until the log shows which version won: the order of the log is authoritative, and the
/// conflict is counted.
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

/// Records from peers that are behind, were not signed by a trusted key, or are garbage change
/// nothing.
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

/// The log contains a checkpoint with a signed version that lost its race. A reader without a gap
/// refuses it and counts a conflict; it must not take it for the last checkpoint, which would delay
/// the next one.
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

/// The log dropped records that a node hasn't read, but a peer has. The node has the same head as
/// the peer and closes its gap, since the peer's head covers the log beyond the gap.
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
        "versions alone do not close a gap"
    );
    assert!(matches!(
        fold.adopt(&checkpoint(&peer)),
        Verdict::Adopted(_)
    ));
    assert!(!fold.in_gap());
    assert_eq!(fold.next_offset(), 10);
}
