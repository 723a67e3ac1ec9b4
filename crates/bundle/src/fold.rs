//! The fold of the log: which version is in force.
//!
//! Every node reads the same stream in the same order and judges each version when it comes to
//! it: the first valid child of the head becomes the head, all others have lost or are refused.
//! The verdict depends on the records before it and on the trusted keys of the settings, on
//! nothing else, so nodes agree without talking to each other.
//!
//! # Gaps
//!
//! The log drops old records. A reader whose next offset is no longer retained can't know which
//! versions it missed, so what looks like a child of its head may have lost long ago. It judges
//! nothing ([`Verdict::Unjudged`]) until it has a state that accounts for everything below the
//! first retained record: a checkpoint in the log, or a peer's head. Both say in `next` up to
//! where they account for the log. The reader then goes back to that offset and judges from
//! there; `next` may be lower than what the state really includes, since a version that is
//! included already can only lose or repeat.
//!
//! # Heads of peers, and what decides
//!
//! While the log is out or slow, nodes pass on what they have accepted. A node that is told a
//! higher version, signed by a trusted key, uses it at once: it is *ahead* of what the node
//! has folded itself. The fold of the log stays apart below it and goes on when the log is back.
//!
//! - A head of a peer was accepted from the log by the node that first passed it on, and others
//!   pass it on unchanged. So it is the log's choice, only known earlier. It must be passed on
//!   by nodes that have it from a peer too: else, once the nodes that read it were replaced
//!   during an outage, nobody would have the head.
//! - If a peer's head and the log disagree all the same (same number, another digest; it takes a
//!   faulty node, or other trusted keys in its settings), the log's order decides: as soon as
//!   the fold has a head with the same or a higher number, that one is used and the other is
//!   dropped and counted ([`Counters::conflicts`]).
//! - A head with a lower number is never used in place of a higher one, wherever either is from.
//!   A node may be cut off and old, but it doesn't go back.
//! - A checkpoint that contradicts what a reader without a gap has folded is refused and counted.
//!
//! Checkpoints and peers' heads carry a signed header whose `result` is the digest of the full
//! text, so nobody can pass off what no trusted person signed. What isn't signed is that it won
//! its race; for that the reader relies on whoever appended the checkpoint, or on the peer, which
//! is authenticated. A checkpoint is only used by readers with a gap.

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

/// The fold of the log's stream of bundles.
#[derive(Clone, Debug)]
pub struct Fold {
    /// Keys of the settings.
    trusted: Vec<Signer>,
    /// What the log came to, up to `next` (up to its own `next` while there is a gap).
    base: Branch,
    /// What peers told beyond `base`; empty if nothing.
    ahead: Branch,
    /// Next offset to read.
    next: u64,
    /// First retained offset when a gap was found that isn't closed yet.
    gap: Option<u64>,
    /// After going back to an earlier offset: where reading had got to. Records from there on
    /// are passed over until an earlier one shows that the reader did go back.
    rewound_from: Option<u64>,
    /// Highest number ever in force.
    highest_number: Number,
    last_checkpoint: Option<Location>,
    counters: Counters,
}

impl Fold {
    /// An empty fold that trusts `trusted`.
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

    /// The bundle in force, if one is known.
    pub fn head(&self) -> Option<&Arc<Bundle>> {
        self.current().map(|k| &k.bundle)
    }

    /// The head of the log as folded so far; a peer's head may be past it.
    pub fn log_head(&self) -> Option<&Arc<Bundle>> {
        self.base.head.as_ref().map(|k| &k.bundle)
    }

    /// Offset to read the log from.
    pub fn next_offset(&self) -> u64 {
        self.next
    }

    /// Versions that were accepted or adopted, oldest first, as far back as they are kept.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &Entry> {
        let number = self.base.number();
        self.base.history.iter().chain(self.ahead.after(number))
    }

    /// The last checkpoint that was read and agreed with, or that a peer knew of when it gave its
    /// head.
    pub fn last_checkpoint(&self) -> Option<Location> {
        self.last_checkpoint
    }

    /// What was counted.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Whether versions can't be judged for a gap.
    pub fn in_gap(&self) -> bool {
        self.gap.is_some()
    }

    /// Applies a page of the log: its first retained offset, then its records in order.
    pub fn apply_page<'a>(
        &mut self,
        first: u64,
        records: impl IntoIterator<Item = (u64, &'a [u8])>,
    ) -> Vec<(u64, Verdict)> {
        self.set_first_retained(first);
        let verdicts = records.into_iter().map(|(o, b)| (o, self.apply(o, b)));
        verdicts.collect()
    }

    /// Applies the record at `offset`. Records come in the log's order, from
    /// [`Fold::next_offset`] on.
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

    /// The state as a record for the log: a checkpoint. `None` if there is nothing yet, or a
    /// gap: only who read the log without one can vouch for it. `wall` is the time since the
    /// Unix epoch.
    pub fn checkpoint(&self, wall: Duration) -> Option<Vec<u8>> {
        if self.in_gap() {
            return None;
        }
        let base = self.base.head.as_ref()?;
        Some(Record::Checkpoint(base.to_head(self.next, wall, None)).encode())
    }

    /// Judges a version of the log.
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

    /// The known state with the highest number.
    fn current(&self) -> Option<&SignedBundle> {
        self.ahead.head.as_ref().or(self.base.head.as_ref())
    }

    /// Drops what is overtaken, and checks what must hold.
    fn finish_update(&mut self) {
        self.drop_overtaken();
        let number = self.current().map_or(0, |k| k.bundle.number);
        // The promise to callers and operators alike: never back to an older version.
        assert!(number >= self.highest_number, "head went back to {number}");
        self.highest_number = number;
        debug_assert!(self.check().is_empty(), "{:?}", self.check());
    }

    /// Drops the head of a peer once the fold of the log has got as far.
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

    /// Offset of the log below which the state in force accounts for all records.
    fn covered_below(&self) -> u64 {
        if self.ahead.head.is_none() && !self.in_gap() {
            return self.next;
        }
        self.current().map_or(0, |k| k.next)
    }
}
