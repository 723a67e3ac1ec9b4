//! The fold of the log: derives the bundle version that is in force.
//!
//! Every node reads the same stream in the same order and judges each version when it reads it:
//! the first valid child of the head becomes the head; every other child loses or is refused.
//! A verdict depends only on the preceding records and on the trusted keys of the settings, so
//! all nodes reach the same verdict without communicating.
//!
//! # Gaps
//!
//! The log drops old records. A reader whose next offset is no longer retained can't know which
//! versions it missed, so a version that looks like a child of its head may have lost long ago.
//! The reader judges no version ([`Verdict::Unjudged`]) until it has a state that covers
//! everything below the first retained record: a checkpoint in the log, or a peer's head. The
//! `next` field of either is the offset below which it covers the log. The reader then goes back
//! to that offset and judges the records from there. `next` may be lower than necessary: a
//! version that the state already includes can only lose or repeat.
//!
//! # Heads of peers, and precedence
//!
//! While the log is unavailable or slow, nodes exchange the versions that they have accepted. A
//! node that receives a higher version, signed by a trusted key, uses it at once: the version is
//! *ahead* of the node's own fold of the log. That fold is kept separately and continues when the
//! log is available again.
//!
//! - A peer's head was accepted from the log by the first node that sent it, and others forward
//!   it unchanged. It is therefore the version that the log chose, known before this node reads
//!   it there. Nodes that received a head from a peer must forward it too: otherwise the head
//!   would be lost once all nodes that read it from the log were replaced during an outage.
//! - If a peer's head and the log disagree nevertheless (same number, different digest; this
//!   requires a faulty node, or other trusted keys in its settings), the order of the log is
//!   authoritative: as soon as the fold has a head with the same or a higher number, the fold's
//!   head is used, and the peer's head is dropped and counted ([`Counters::conflicts`]).
//! - A head with a lower number never replaces a higher one, whatever the source of either. A
//!   node that is cut off may be stale, but it never goes back to an earlier version.
//! - A checkpoint that contradicts the fold of a reader without a gap is refused and counted.
//!
//! Checkpoints and peers' heads carry a signed header whose `result` is the digest of the full
//! text, so nobody can forge a state that no trusted person signed. The signature does not show
//! that the version won against its siblings. For that, the reader relies on the node that
//! appended the checkpoint, or on the peer, which is authenticated. Only readers with a gap use a
//! checkpoint.

mod adopt;
mod branch;
mod counters;
mod dump;
mod history;
mod invariant;
mod judge;
mod signed_bundle;
mod status;
mod verdict;

use crate::bundle::Bundle;
use crate::id::Number;
use crate::record::Record;
use crate::signed::{Location, Version};
use crate::signer::Signer;
use branch::Branch;
use signed_bundle::SignedBundle;
use std::sync::Arc;
use std::time::Duration;

pub use counters::Counters;
pub use history::Entry;
pub use invariant::Violation;
pub use signed_bundle::build_bundle;
pub use status::Status;
pub use verdict::{Reason, Verdict};

/// Fold of the log's stream of bundle versions.
#[derive(Clone, Debug)]
pub struct Fold {
    /// Signers that the settings trust.
    trusted: Vec<Signer>,
    /// State folded from the log below `next` (below the state's own `next` during a gap).
    base: Branch,
    /// Versions received from peers beyond `base`; empty if there are none.
    ahead: Branch,
    /// Next offset of the log to read.
    next: u64,
    /// First retained offset of an open gap; `None` without a gap.
    gap: Option<u64>,
    /// Offset that reading had reached before it went back to an earlier one. Records from this
    /// offset on are skipped until an earlier record shows that the reader has gone back.
    rewound_from: Option<u64>,
    /// Highest version number that was ever in force.
    highest_number: Number,
    /// Last checkpoint that matched the fold or that a peer reported.
    last_checkpoint: Option<Location>,
    counters: Counters,
}

impl Fold {
    /// Creates an empty fold that accepts versions signed by `trusted`.
    pub fn new(trusted: Vec<Signer>) -> Self {
        Self {
            trusted,
            base: Branch::default(),
            ahead: Branch::default(),
            next: 0,
            gap: None,
            rewound_from: None,
            highest_number: 0,
            last_checkpoint: None,
            counters: Counters::default(),
        }
    }

    /// Returns the bundle in force, if one is known.
    pub fn head(&self) -> Option<&Arc<Bundle>> {
        self.current().map(|k| &k.bundle)
    }

    /// Returns the head of the log as folded so far; a peer's head may have a higher number.
    pub fn log_head(&self) -> Option<&Arc<Bundle>> {
        self.base.head.as_ref().map(|k| &k.bundle)
    }

    /// Returns the offset from which to read the log.
    pub fn next_offset(&self) -> u64 {
        self.next
    }

    /// Returns the retained versions that were accepted or adopted, oldest first.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &Entry> {
        let number = self.base.number();
        self.base.history.iter().chain(self.ahead.after(number))
    }

    /// Returns the last checkpoint that was read and matched the fold, or that a peer reported
    /// with its head.
    pub fn last_checkpoint(&self) -> Option<Location> {
        self.last_checkpoint
    }

    /// Returns the counters of verdicts, gaps and conflicts.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns whether a gap in the log prevents judging versions.
    pub fn in_gap(&self) -> bool {
        self.gap.is_some()
    }

    /// Applies a page of the log: `first` is the first retained offset, `records` are the records
    /// in order. Returns the verdict on each record with its offset.
    pub fn apply_page<'a>(
        &mut self,
        first: u64,
        records: impl IntoIterator<Item = (u64, &'a [u8])>,
    ) -> Vec<(u64, Verdict)> {
        self.set_first_retained(first);
        let verdicts = records.into_iter().map(|(o, b)| (o, self.apply(o, b)));
        verdicts.collect()
    }

    /// Applies the record at `offset`. Callers pass records in the log's order, starting at
    /// [`Fold::next_offset`].
    pub fn apply(&mut self, offset: u64, body: &[u8]) -> Verdict {
        if self.rewound_from.is_some_and(|limit| offset >= limit) {
            return Verdict::Skipped;
        }
        if offset < self.next {
            return Verdict::Stale;
        }
        self.rewound_from = None;
        self.next = offset.saturating_add(1);
        let verdict = match Record::decode(body) {
            Ok(Record::Version(version)) => self.apply_version(offset, version, body),
            Ok(Record::Checkpoint(head)) => self.apply_checkpoint(offset, head),
            Err(e) => Verdict::Refused(Reason::Record(e)),
        };
        self.counters.count(&verdict);
        self.finish_update();
        verdict
    }

    /// Encodes the state as a checkpoint record for the log. Returns `None` without a state or
    /// with a gap: only a node that has read the log without a gap can vouch for its state. `wall`
    /// is the time since the Unix epoch.
    pub fn checkpoint(&self, wall: Duration) -> Option<Vec<u8>> {
        if self.in_gap() {
            return None;
        }
        let base = self.base.head.as_ref()?;
        Some(Record::Checkpoint(base.to_head(self.next, wall, None)).encode())
    }

    /// Judges a version read from the log and makes it the head of the log if it is valid.
    fn apply_version(&mut self, offset: u64, version: Version, body: &[u8]) -> Verdict {
        if self.in_gap() {
            return Verdict::Unjudged;
        }
        if self.base.history.contains(&version.envelope.header.id()) {
            return Verdict::Repeated;
        }
        let bundle = match self.child_bundle(self.base.head.as_ref(), &version) {
            Ok(bundle) => Arc::new(bundle),
            Err(verdict) => return verdict,
        };
        let signed = SignedBundle::new(bundle.clone(), version.envelope, self.next);
        self.base.push(signed, Some(offset), Some(body));
        Verdict::Accepted(bundle)
    }

    /// Returns the state in force: the known state with the highest number.
    fn current(&self) -> Option<&SignedBundle> {
        self.ahead.head.as_ref().or(self.base.head.as_ref())
    }

    /// Drops a peer's head that the log has reached, and checks the invariants.
    fn finish_update(&mut self) {
        self.drop_overtaken();
        let number = self.current().map_or(0, |k| k.bundle.number);
        // Callers and operators rely on this: a node never goes back to an earlier version.
        assert!(number >= self.highest_number, "head went back to {number}");
        self.highest_number = number;
        debug_assert!(self.check().is_empty(), "{:?}", self.check());
    }

    /// Drops a peer's head once the fold of the log has reached its number.
    fn drop_overtaken(&mut self) {
        let (Some(base), Some(ahead)) = (&self.base.head, &self.ahead.head) else {
            return;
        };
        if ahead.bundle.number > base.bundle.number {
            return;
        }
        let same = ahead.bundle.number == base.bundle.number;
        if same && ahead.bundle.digest != base.bundle.digest {
            self.counters.conflicts += 1;
        }
        self.ahead = Branch::default();
    }

    /// Returns the offset below which the state in force covers all records of the log.
    fn covered_below(&self) -> u64 {
        if self.ahead.head.is_none() && !self.in_gap() {
            return self.next;
        }
        self.current().map_or(0, |k| k.next)
    }
}
