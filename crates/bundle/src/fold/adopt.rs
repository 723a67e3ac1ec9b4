//! States from checkpoints and peers.

use super::Fold;
use super::known::{Known, checked};
use super::verdict::{Reason, Verdict};
use crate::bundle::Bundle;
use crate::id::Number;
use crate::record::Record;
use crate::signed::{Head, Location, Version};
use crate::verify;
use std::sync::Arc;
use std::time::Duration;

impl Fold {
    /// Tells the first offset that the log retains, before the records of a page are applied.
    /// Returns whether there is a gap now.
    pub fn gap(&mut self, first: u64) -> bool {
        if first <= self.next {
            return self.in_gap();
        }
        if !self.in_gap() {
            self.counters.gaps += 1;
            if let Some(base) = &mut self.base.known {
                base.next = self.next;
            }
        }
        self.gap = Some(first);
        self.next = first;
        self.rewound = None;
        self.close_by_ahead();
        self.settle();
        self.in_gap()
    }

    /// Takes a record from a peer: a version that follows the head in force, or a full head.
    /// It is used only if it is higher than what is in force and signed by a trusted key.
    pub fn adopt(&mut self, body: &[u8]) -> Verdict {
        let verdict = match Record::decode(body) {
            Ok(Record::Version(version)) => self.adopt_version(version, body),
            Ok(Record::Checkpoint(head)) => self.adopt_head(head),
            Err(e) => Verdict::Refused(Reason::Record(e)),
        };
        self.counters.count(&verdict);
        self.settle();
        verdict
    }

    /// What to send to a peer whose head is version `after`: the versions since, or the full
    /// head if these aren't kept any more. Nothing if it isn't behind.
    pub fn offer(&self, after: Number) -> Vec<Arc<[u8]>> {
        let Some(known) = self.shown() else {
            return Vec::new();
        };
        let number = known.bundle.number;
        if number <= after {
            return Vec::new();
        }
        if let Some(versions) = self.versions(after, number) {
            return versions;
        }
        self.full().into_iter().map(Arc::from).collect()
    }

    /// The head in force as a full record, for a peer or an operator.
    pub fn full(&self) -> Option<Vec<u8>> {
        let known = self.shown()?;
        let head = known.head(self.accounted(), Duration::ZERO, self.last);
        Some(Record::Checkpoint(head).encode())
    }

    /// Records of the versions after `after` up to `to`, if all are kept.
    fn versions(&self, after: Number, to: Number) -> Option<Vec<Arc<[u8]>>> {
        let base = self.base.number();
        let told = self.ahead.history.recent().filter(|r| r.number > base);
        let all = self.base.history.recent().chain(told);
        let wanted = all.filter(|r| r.number > after);
        let numbers = wanted.clone().map(|r| r.number);
        let whole = numbers.eq(after + 1..=to);
        whole.then(|| wanted.map(|r| r.body.clone()).collect())
    }

    /// Takes a version from a peer.
    fn adopt_version(&mut self, version: Version, body: &[u8]) -> Verdict {
        let shown = self.shown();
        if shown.is_some_and(|k| k.bundle.number >= version.envelope.header.number) {
            return Verdict::Old;
        }
        let bundle = match self.bundle_of(shown, &version) {
            Ok(bundle) => Arc::new(bundle),
            Err(verdict) => return verdict,
        };
        let known = Known::new(bundle.clone(), version.envelope, self.accounted());
        self.ahead.push(known, None, Some(body));
        Verdict::Adopted(bundle)
    }

    /// Takes a full head from a peer.
    fn adopt_head(&mut self, head: Head) -> Verdict {
        let shown = self
            .shown()
            .map(|k| (k.bundle.number, k.envelope.header.id()));
        if shown.is_some_and(|(_, id)| id == head.envelope.header.id()) {
            return self.confirm(head.next);
        }
        let number = head.envelope.header.number;
        if shown.is_some_and(|(known, _)| known == number) {
            return Verdict::Refused(Reason::Conflict(number));
        }
        if shown.is_some_and(|(known, _)| known > number) {
            return Verdict::Old;
        }
        let checkpoint = head.checkpoint;
        let known = match self.known_of(head) {
            Ok(known) => known,
            Err(reason) => return Verdict::Refused(reason),
        };
        let bundle = known.bundle.clone();
        self.ahead.push(known, None, None);
        self.last = self.last.or(checkpoint);
        self.close_by_ahead();
        Verdict::Adopted(bundle)
    }

    /// A peer has the same head and accounts with it for the log below `next`: this may close a
    /// gap, in which then no version was accepted.
    fn confirm(&mut self, next: u64) -> Verdict {
        let Some(gap) = self.gap else {
            return Verdict::Old;
        };
        if next < gap {
            return Verdict::Old;
        }
        if self.ahead.known.is_some() {
            self.base.append(&mut self.ahead);
        }
        let Some(known) = &mut self.base.known else {
            return Verdict::Old;
        };
        known.next = next;
        let bundle = known.bundle.clone();
        self.restart(next);
        Verdict::Adopted(bundle)
    }

    /// Uses the peer's head as the base if it accounts for all that a gap hides.
    pub(super) fn close_by_ahead(&mut self) {
        let Some(gap) = self.gap else { return };
        let Some(known) = &self.ahead.known else {
            return;
        };
        let next = known.next;
        if next >= gap {
            self.base.append(&mut self.ahead);
            self.restart(next);
        }
    }

    /// Closes the gap: the base accounts for all records below `next`, so read on from there.
    fn restart(&mut self, next: u64) {
        self.gap = None;
        if next < self.next {
            self.rewound = Some(self.next);
        }
        self.next = next;
    }

    /// Takes a checkpoint of the log.
    pub(super) fn apply_checkpoint(&mut self, offset: u64, head: Head) -> Verdict {
        if head.next > offset {
            return Verdict::Refused(Reason::Future);
        }
        match self.gap {
            Some(gap) => self.close_by_checkpoint(gap, offset, head),
            None => self.compare(offset, head),
        }
    }

    /// Closes a gap by a checkpoint that accounts for all that the gap hides.
    fn close_by_checkpoint(&mut self, gap: u64, offset: u64, head: Head) -> Verdict {
        if head.next < gap {
            return Verdict::Unjudged;
        }
        let number = head.envelope.header.number;
        if self.contradicts(&head) {
            return Verdict::Refused(Reason::Conflict(number));
        }
        let location = location(offset, &head);
        let known = match self.known_of(head) {
            Ok(known) => known,
            Err(reason) => return Verdict::Refused(reason),
        };
        let bundle = known.bundle.clone();
        // A checkpoint that accounts for all before itself needn't be read a second time.
        let next = if known.next == offset {
            self.next
        } else {
            known.next
        };
        self.last = Some(location);
        self.base.push(known, None, None);
        self.restart(next);
        Verdict::Adopted(bundle)
    }

    /// Whether the log before the gap came to something that can't precede `head`.
    fn contradicts(&self, head: &Head) -> bool {
        let Some(base) = &self.base.known else {
            return false;
        };
        let header = &head.envelope.header;
        let number = base.bundle.number;
        header.number < number || (header.number == number && base.envelope.header != *header)
    }

    /// Compares a checkpoint with what was folded without a gap. It needs no signature check:
    /// only one whose header the fold has accepted itself agrees.
    fn compare(&mut self, offset: u64, head: Head) -> Verdict {
        let header = &head.envelope.header;
        let number = header.number;
        if number > self.base.number() {
            return Verdict::Refused(Reason::Conflict(number));
        }
        match self.base.history.get(number) {
            Some(entry) if entry.id == header.id() => {
                self.last = Some(location(offset, &head));
                Verdict::Agreed
            }
            Some(_) => Verdict::Refused(Reason::Conflict(number)),
            None => Verdict::Old,
        }
    }

    /// The checked state of a head whose signature is trusted.
    fn known_of(&self, head: Head) -> Result<Known, Reason> {
        let none = Bundle::default();
        let shown = self.shown().map_or(&none, |k| &*k.bundle);
        let trust = head.envelope.check(&self.trusted, &shown.signers);
        trust.map_err(Reason::Distrust)?;
        let bundle = checked(&head.sections, &head.envelope.header)?;
        if bundle.number >= shown.number {
            let findings = verify::step(shown, &bundle);
            if findings.failed() {
                return Err(Reason::Bundle(findings));
            }
        }
        Ok(Known::new(Arc::new(bundle), head.envelope, head.next))
    }
}

/// What is kept of a checkpoint.
fn location(offset: u64, head: &Head) -> Location {
    Location {
        offset,
        next: head.next,
        written: head.written,
        number: head.envelope.header.number,
    }
}
