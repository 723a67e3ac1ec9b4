//! Adoption of states from checkpoints and peers.

use super::Fold;
use super::signed_bundle::{SignedBundle, build_bundle};
use super::verdict::{Reason, Verdict};
use crate::bundle::Bundle;
use crate::id::Number;
use crate::record::Record;
use crate::signed::{Head, Location, Version};
use crate::verify;
use std::sync::Arc;
use std::time::Duration;

impl Fold {
    /// Records the first offset that the log retains. Called before the records of a page are
    /// applied. Returns whether there is a gap.
    pub fn set_first_retained(&mut self, first: u64) -> bool {
        if first <= self.next {
            return self.in_gap();
        }
        if !self.in_gap() {
            self.counters.gaps += 1;
            if let Some(base) = &mut self.base.head {
                base.next = self.next;
            }
        }
        self.gap = Some(first);
        self.next = first;
        self.rewound_from = None;
        self.close_gap_by_peer();
        self.finish_update();
        self.in_gap()
    }

    /// Processes a record from a peer: a version that follows the head in force, or a full head.
    /// It is adopted only if a trusted key signed it and its number is higher than the one in
    /// force. A head that is already in force may also close a gap.
    pub fn adopt(&mut self, body: &[u8]) -> Verdict {
        let verdict = match Record::decode(body) {
            Ok(Record::Version(version)) => self.adopt_version(version, body),
            Ok(Record::Checkpoint(head)) => self.adopt_head(head),
            Err(e) => Verdict::Refused(Reason::Record(e)),
        };
        self.counters.count(&verdict);
        self.finish_update();
        verdict
    }

    /// Returns the records to send to a peer whose head is version `after`: the versions since
    /// then, or the full head if these are no longer retained. Empty if the peer is up to date.
    pub fn records_since(&self, after: Number) -> Vec<Arc<[u8]>> {
        let Some(signed) = self.current() else {
            return Vec::new();
        };
        let number = signed.bundle.number;
        if number <= after {
            return Vec::new();
        }
        if let Some(versions) = self.recent_versions(after, number) {
            return versions;
        }
        self.encode_head().into_iter().map(Arc::from).collect()
    }

    /// Encodes the head in force with all its sections, for a peer or an operator.
    pub fn encode_head(&self) -> Option<Vec<u8>> {
        let signed = self.current()?;
        let head = signed.to_head(self.covered_below(), Duration::ZERO, self.last_checkpoint);
        Some(Record::Checkpoint(head).encode())
    }

    /// Returns the records of the versions after `after` up to and including `to`, if all of them
    /// are retained.
    fn recent_versions(&self, after: Number, to: Number) -> Option<Vec<Arc<[u8]>>> {
        let base = self.base.number();
        let from_peers = self.ahead.history.recent().filter(|r| r.number > base);
        let all = self.base.history.recent().chain(from_peers);
        let wanted = all.filter(|r| r.number > after);
        let numbers = wanted.clone().map(|r| r.number);
        let complete = numbers.eq(after + 1..=to);
        complete.then(|| wanted.map(|r| r.body.clone()).collect())
    }

    /// Adopts a version from a peer if it is a valid child of the head in force.
    fn adopt_version(&mut self, version: Version, body: &[u8]) -> Verdict {
        let current = self.current();
        if current.is_some_and(|k| k.bundle.number >= version.envelope.header.number) {
            return Verdict::Stale;
        }
        let bundle = match self.child_bundle(current, &version) {
            Ok(bundle) => Arc::new(bundle),
            Err(verdict) => return verdict,
        };
        let signed = SignedBundle::new(bundle.clone(), version.envelope, self.covered_below());
        self.ahead.push(signed, None, Some(body));
        Verdict::Adopted(bundle)
    }

    /// Adopts a full head from a peer if it is valid and higher than the head in force.
    fn adopt_head(&mut self, head: Head) -> Verdict {
        let current = self
            .current()
            .map(|k| (k.bundle.number, k.envelope.header.id()));
        if current.is_some_and(|(_, id)| id == head.envelope.header.id()) {
            return self.confirm_head(head.next);
        }
        let number = head.envelope.header.number;
        if current.is_some_and(|(number_in_force, _)| number_in_force == number) {
            return Verdict::Refused(Reason::Conflict(number));
        }
        if current.is_some_and(|(number_in_force, _)| number_in_force > number) {
            return Verdict::Stale;
        }
        let checkpoint = head.checkpoint;
        let signed = match self.verify_head(head) {
            Ok(signed) => signed,
            Err(reason) => return Verdict::Refused(reason),
        };
        let bundle = signed.bundle.clone();
        self.ahead.push(signed, None, None);
        self.last_checkpoint = self.last_checkpoint.or(checkpoint);
        self.close_gap_by_peer();
        Verdict::Adopted(bundle)
    }

    /// Closes a gap if a peer with the same head covers the log below `next` and `next` reaches the
    /// first retained offset: then no version was accepted within the gap.
    fn confirm_head(&mut self, next: u64) -> Verdict {
        let Some(gap) = self.gap else {
            return Verdict::Stale;
        };
        if next < gap {
            return Verdict::Stale;
        }
        if self.ahead.head.is_some() {
            self.base.append(&mut self.ahead);
        }
        let Some(signed) = &mut self.base.head else {
            return Verdict::Stale;
        };
        signed.next = next;
        let bundle = signed.bundle.clone();
        self.resume_at(next);
        Verdict::Adopted(bundle)
    }

    /// Makes the peer's head the base if it covers all records missing in a gap.
    pub(super) fn close_gap_by_peer(&mut self) {
        let Some(gap) = self.gap else { return };
        let Some(signed) = &self.ahead.head else {
            return;
        };
        let next = signed.next;
        if next >= gap {
            self.base.append(&mut self.ahead);
            self.resume_at(next);
        }
    }

    /// Closes the gap: the base covers all records below `next`, so reading continues there.
    fn resume_at(&mut self, next: u64) {
        self.gap = None;
        if next < self.next {
            self.rewound_from = Some(self.next);
        }
        self.next = next;
    }

    /// Processes a checkpoint read from the log.
    pub(super) fn apply_checkpoint(&mut self, offset: u64, head: Head) -> Verdict {
        if head.next > offset {
            return Verdict::Refused(Reason::FutureOffset);
        }
        match self.gap {
            Some(gap) => self.close_gap_by_checkpoint(gap, offset, head),
            None => self.compare_checkpoint(offset, head),
        }
    }

    /// Closes a gap if the checkpoint covers all records missing in it.
    fn close_gap_by_checkpoint(&mut self, gap: u64, offset: u64, head: Head) -> Verdict {
        if head.next < gap {
            return Verdict::Unjudged;
        }
        let number = head.envelope.header.number;
        if self.contradicts(&head) {
            return Verdict::Refused(Reason::Conflict(number));
        }
        let location = location(offset, &head);
        let signed = match self.verify_head(head) {
            Ok(signed) => signed,
            Err(reason) => return Verdict::Refused(reason),
        };
        let bundle = signed.bundle.clone();
        // A checkpoint that covers all records before it need not be read a second time.
        let next = if signed.next == offset {
            self.next
        } else {
            signed.next
        };
        self.last_checkpoint = Some(location);
        self.base.push(signed, None, None);
        self.resume_at(next);
        Verdict::Adopted(bundle)
    }

    /// Returns whether the state folded before the gap can't precede `head`.
    fn contradicts(&self, head: &Head) -> bool {
        let Some(base) = &self.base.head else {
            return false;
        };
        let header = &head.envelope.header;
        let number = base.bundle.number;
        header.number < number || (header.number == number && base.envelope.header != *header)
    }

    /// Compares a checkpoint with a fold that has no gap. This needs no signature check: a
    /// checkpoint agrees only if the fold has already accepted the same header.
    fn compare_checkpoint(&mut self, offset: u64, head: Head) -> Verdict {
        let header = &head.envelope.header;
        let number = header.number;
        if number > self.base.number() {
            return Verdict::Refused(Reason::Conflict(number));
        }
        match self.base.history.get(number) {
            Some(entry) if entry.id == header.id() => {
                self.last_checkpoint = Some(location(offset, &head));
                Verdict::Agreed
            }
            Some(_) => Verdict::Refused(Reason::Conflict(number)),
            None => Verdict::Stale,
        }
    }

    /// Checks the signature of `head`, verifies its sections and returns the resulting state.
    fn verify_head(&self, head: Head) -> Result<SignedBundle, Reason> {
        let none = Bundle::default();
        let current = self.current().map_or(&none, |k| &*k.bundle);
        let trust = head.envelope.check(&self.trusted, &current.signers);
        trust.map_err(Reason::Signature)?;
        let bundle = build_bundle(&head.sections, &head.envelope.header)?;
        if bundle.number >= current.number {
            let findings = verify::verify_successor(current, &bundle);
            if findings.has_errors() {
                return Err(Reason::Bundle(findings));
            }
        }
        Ok(SignedBundle::new(
            Arc::new(bundle),
            head.envelope,
            head.next,
        ))
    }
}

/// Returns the location of the checkpoint `head` at `offset`.
fn location(offset: u64, head: &Head) -> Location {
    Location {
        offset,
        next: head.next,
        written: head.written,
        number: head.envelope.header.number,
    }
}
