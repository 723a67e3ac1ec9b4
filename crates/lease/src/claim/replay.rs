//! State of one shard, replayed from the records of its stream.

use crate::claim::record::{Batch, Item};
use crate::claim::{Counters, Fingerprint, Hash, Number, Settings};
use crate::{Offset, Outcome, Owner, Page, WallTime};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Maximum difference between two of the clocks involved, in units of the maximum error of one
/// clock. Three clocks are involved: that of the creator of a key, of the claim's owner, and of the
/// owner of a record that dates the stream.
const MAX_CLOCK_ERRORS: u32 = 3;

/// A key that has an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Time at which the key was created.
    pub date: WallTime,
    /// Hash of the team and body of the key's request.
    pub fingerprint: Fingerprint,
    /// Owner of the key.
    pub owner: Owner,
    /// Sequence number of the owner's claim.
    pub number: Number,
    /// Outcome of the run, if the owner recorded it.
    pub outcome: Option<Outcome>,
}

/// A change made by a page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The stream dropped records before this node read them.
    Gap,
    /// The key has a new owner.
    Claimed(Hash, Entry),
    /// The owner released the key, which it held by the claim with this number.
    Released(Hash, Owner, Number),
}

/// State of a shard. It depends only on the records at offsets from `start` on.
///
/// For a key dated at or after [`Replay::floor`] it equals the state replayed from offset 0, since
/// no claim of such a key can be among the records below `start`.
#[derive(Clone, Debug, Default)]
pub struct Replay {
    next: Offset,
    start: Option<Offset>,
    /// Keys dated before this may have claims among the records below `start`.
    unread_bound: WallTime,
    /// Keys dated before this may have been evicted from `entries`.
    evicted_bound: WallTime,
    caught_up: bool,
    last_read_at: WallTime,
    entries: BTreeMap<Hash, Entry>,
    order: VecDeque<Hash>,
}

impl Replay {
    /// Offset of the next record to read.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Returns whether a read has reached the end of the stream since the last gap.
    pub fn caught_up(&self) -> bool {
        self.caught_up
    }

    /// Time at which the last record was read.
    pub fn last_read_at(&self) -> WallTime {
        self.last_read_at
    }

    /// Date before which keys may have claims that this node doesn't know.
    pub fn floor(&self) -> WallTime {
        self.unread_bound.max(self.evicted_bound)
    }

    /// Returns the key's entry, if the key has an owner.
    pub fn entry(&self, hash: Hash) -> Option<&Entry> {
        self.entries.get(&hash)
    }

    /// Number of keys with an entry.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key has an entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records the outcome of a claim, if the key is still owned by this claim. Also used for runs
    /// of this node whose outcome has not been read back yet.
    pub fn record_outcome(&mut self, hash: Hash, owner: Owner, number: Number, outcome: Outcome) {
        if let Some(entry) = self.entry_mut(hash, owner, number) {
            entry.outcome = Some(outcome);
        }
    }

    /// Applies a page and returns the changes. Ignores a page that does not continue at the next
    /// offset.
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
            self.last_read_at = wall;
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

    /// Evicts keys that are older than `key_lifetime`.
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

    /// Starts at the first retained record, or restarts there if the stream dropped records before
    /// this node read them. Returns whether it restarted.
    ///
    /// The dropped records were appended before `wall`, so they contain no claims of keys created
    /// later. The dates in the following records lower this bound.
    fn start_or_restart(&mut self, wall: WallTime, first: Offset, settings: &Settings) -> bool {
        let started = self.start.is_some();
        if started && first <= self.next {
            return false;
        }
        self.caught_up = false;
        self.start = Some(first);
        self.next = first;
        self.last_read_at = wall;
        self.unread_bound = match first {
            0 => WallTime::ZERO,
            _ => wall + settings.max_clock_error * MAX_CLOCK_ERRORS,
        };
        started
    }

    /// Lowers the bound on dropped records if `batch` states that they were in the stream by an
    /// earlier time.
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

    /// Makes the claim the owner of the key if the key is free. Ignores claims of owned keys and of
    /// keys so old that they may have been evicted.
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
        // `order` contains a key several times if it was claimed again after a release.
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
