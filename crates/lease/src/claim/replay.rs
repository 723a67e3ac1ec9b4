//! What one shard's stream says, as far as this node has read it.

use crate::claim::record::{Batch, Item};
use crate::claim::{Counters, Fingerprint, Hash, Number, Settings};
use crate::{Offset, Outcome, Owner, Page, WallTime};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Between the wall clock of whoever dated a key, whoever claimed it and whoever dated the stream
/// lie at most this many errors of one clock.
const MAX_CLOCK_ERRORS: u32 = 3;

/// A key that is owned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// When the key was made.
    pub date: WallTime,
    /// What it stands for.
    pub fingerprint: Fingerprint,
    /// Who owns it.
    pub owner: Owner,
    /// Number of the owner's claim.
    pub number: Number,
    /// How the owner noted that it ended.
    pub outcome: Option<Outcome>,
}

/// Something that a page changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Records were dropped before this reader came to them.
    Gap,
    /// The key is owned now.
    Claimed(Hash, Entry),
    /// The key was released by this owner's claim of this number.
    Released(Hash, Owner, Number),
}

/// The fold of a stream: a pure function of the records from `start` on.
///
/// For a key dated at or after [`Replay::floor`] it equals the fold from offset 0: no claim of such a
/// key can be among the records below `start`.
#[derive(Clone, Debug, Default)]
pub struct Replay {
    next: Offset,
    start: Option<Offset>,
    /// Bound from the records that were gone before they could be read.
    unread_bound: WallTime,
    /// Bound from the keys that were dropped here.
    evicted_bound: WallTime,
    caught_up: bool,
    read_at: WallTime,
    entries: BTreeMap<Hash, Entry>,
    order: VecDeque<Hash>,
}

impl Replay {
    /// Where to read on.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Whether a read has reached the end of the stream since the last gap.
    pub fn caught_up(&self) -> bool {
        self.caught_up
    }

    /// When the last record was read.
    pub fn read_at(&self) -> WallTime {
        self.read_at
    }

    /// Keys dated before this may have had claims that this node doesn't know.
    pub fn floor(&self) -> WallTime {
        self.unread_bound.max(self.evicted_bound)
    }

    /// Who owns the key.
    pub fn entry(&self, hash: Hash) -> Option<&Entry> {
        self.entries.get(&hash)
    }

    /// Number of keys remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Notes an outcome that this node knows first-hand, before it is read back.
    pub fn record_outcome(&mut self, hash: Hash, owner: Owner, number: Number, outcome: Outcome) {
        if let Some(entry) = self.entry_mut(hash, owner, number) {
            entry.outcome = Some(outcome);
        }
    }

    /// Takes in a page and gives what it changed. A page that does not follow on is left out.
    pub fn apply(
        &mut self,
        wall: WallTime,
        page: &Page,
        settings: &Settings,
        counters: &mut Counters,
    ) -> Vec<Change> {
        let next = self.next;
        let unread = page.records.iter().filter(|r| r.offset >= next);
        let reached = next.max(page.first);
        let contiguous = unread
            .clone()
            .next()
            .map_or(page.next == reached, |r| r.offset == reached);
        if !contiguous {
            return Vec::new();
        }
        let mut changes = Vec::new();
        if self.start_or_restart(wall, page.first, settings) {
            counters.gaps += 1;
            changes.push(Change::Gap);
        }
        for record in unread {
            self.next = record.offset + 1;
            self.read_at = wall;
            counters.records += 1;
            match Batch::decode(&record.body) {
                Ok(batch) if batch.upto <= record.offset => {
                    counters.skewed += u64::from(batch.at > wall + settings.max_clock_error * 2);
                    self.tighten_bound(&batch, settings);
                    let items = batch.items.iter();
                    changes.extend(items.filter_map(|item| self.apply_item(batch.owner, item)));
                }
                _ => counters.undecodable += 1,
            }
        }
        self.caught_up |= page.records.is_empty();
        self.enforce_capacity(settings.max_keys);
        changes
    }

    /// Drops keys that are past the window.
    pub fn expire(&mut self, wall: WallTime, key_lifetime: Duration) {
        self.evicted_bound = self.evicted_bound.max(wall.saturating_sub(key_lifetime));
        while let Some(hash) = self.order.front() {
            let in_window = self
                .entries
                .get(hash)
                .is_some_and(|e| e.date >= self.evicted_bound);
            if in_window {
                break;
            }
            self.evict_oldest();
        }
    }

    /// Starts at the first record held, or starts over when retention was faster than this reader;
    /// gives whether it was.
    ///
    /// What is gone was appended before now, so keys made later are safe. Statements in the
    /// records that follow lower that bound.
    fn start_or_restart(&mut self, wall: WallTime, first: Offset, settings: &Settings) -> bool {
        let started = self.start.is_some();
        if started && first <= self.next {
            return false;
        }
        self.caught_up = false;
        self.start = Some(first);
        self.next = first;
        self.read_at = wall;
        self.unread_bound = match first {
            0 => WallTime::ZERO,
            _ => wall + settings.max_clock_error * MAX_CLOCK_ERRORS,
        };
        started
    }

    /// A record states that what is gone here was there by a certain time.
    fn tighten_bound(&mut self, batch: &Batch, settings: &Settings) {
        if self.start.is_some_and(|start| batch.upto >= start) {
            self.unread_bound = self
                .unread_bound
                .min(batch.at + settings.max_clock_error * MAX_CLOCK_ERRORS);
        }
    }

    fn apply_item(&mut self, owner: Owner, item: &Item) -> Option<Change> {
        match *item {
            Item::Claim {
                hash,
                date,
                fingerprint,
                number,
            } => {
                let entry = Entry {
                    date,
                    fingerprint,
                    owner,
                    number,
                    outcome: None,
                };
                self.claim(hash, entry)
            }
            Item::End {
                hash,
                number,
                outcome: Outcome::NotRun,
            } => {
                self.entry_mut(hash, owner, number)?;
                self.entries.remove(&hash);
                Some(Change::Released(hash, owner, number))
            }
            Item::End {
                hash,
                number,
                outcome,
            } => {
                self.record_outcome(hash, owner, number, outcome);
                None
            }
        }
    }

    /// The first claim of a free key owns it; any later one counts for nothing.
    fn claim(&mut self, hash: Hash, entry: Entry) -> Option<Change> {
        if entry.date < self.evicted_bound || self.entries.contains_key(&hash) {
            return None;
        }
        self.entries.insert(hash, entry);
        self.order.push_back(hash);
        Some(Change::Claimed(hash, entry))
    }

    fn entry_mut(&mut self, hash: Hash, owner: Owner, number: Number) -> Option<&mut Entry> {
        self.entries
            .get_mut(&hash)
            .filter(|e| e.owner == owner && e.number == number)
    }

    fn enforce_capacity(&mut self, max_keys: usize) {
        while self.entries.len() > max_keys {
            self.evict_oldest();
        }
        // Keys claimed again after a release stand in the order more than once.
        while self.order.len() > max_keys.saturating_mul(2) {
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        let Some(hash) = self.order.pop_front() else {
            return;
        };
        if let Some(entry) = self.entries.remove(&hash) {
            self.evicted_bound = self
                .evicted_bound
                .max(entry.date + Duration::from_millis(1));
        }
    }
}
