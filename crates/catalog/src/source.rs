//! Local copies of the two tables that hold the catalog and the endpoints; others write them.
//!
//! A copy holds the latest record of each key and the offset of the next change that it lacks.
//! Offsets order all changes of a table, so two copies can be compared: the one with the higher
//! offset replaces the other. A node that can't read the store takes over a peer's copy.
//!
//! A store that is restored from an older copy of itself begins a new era and gives numbers of changes
//! out again. So an offset consists of the era and the number, and any offset of a later era is higher.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Largest table that is read, in bytes with [`RECORD_COST`] for each record: three times that of the largest fleet
/// which is designed for. Whoever sends a table page by page could otherwise go on without end.
pub const MAX_TABLE_BYTES: usize = 8 << 20;
/// Bytes that a record takes beside its key and its value.
const RECORD_COST: usize = 128;

/// Number of times that the store was restored from a copy; 0 if it does not name its era.
pub type Era = u32;

/// Position of a change in the sequence of all changes of its table: the store's era in the upper bits,
/// and the number of the change in that era in the lower [`NUMBER_BITS`]; see [`offset`].
pub type Offset = u64;

/// Number of bits of an offset that hold the number of the change.
const NUMBER_BITS: u32 = 40;

/// Returns the offset of the change with a number in an era; `None` if one of them is too large.
pub fn offset(era: Era, number: u64) -> Option<Offset> {
    let in_range = era < 1 << (u64::BITS - NUMBER_BITS) && number < 1 << NUMBER_BITS;
    in_range.then_some(u64::from(era) << NUMBER_BITS | number)
}

/// Returns the era of an offset.
pub fn era(offset: Offset) -> Era {
    // The upper bits are fewer than those of an era.
    (offset >> NUMBER_BITS) as Era
}

/// Returns the number of the change at an offset in its era.
pub fn number(offset: Offset) -> u64 {
    offset & ((1 << NUMBER_BITS) - 1)
}

/// A change of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Key that changed.
    pub key: String,
    /// New value; `None` if the key was removed.
    pub value: Option<Arc<[u8]>>,
    /// Offset of the change.
    pub offset: Offset,
}

impl Record {
    /// Returns the memory that the record takes, in bytes.
    pub fn cost(&self) -> usize {
        self.size() + RECORD_COST
    }

    /// Returns the approximate size of the record in a message between nodes, in bytes.
    fn size(&self) -> usize {
        size_of::<Offset>() + self.key.len() + self.value.as_ref().map_or(0, |v| v.len())
    }
}

/// A batch of changes of a table.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Changes in the order of their offsets, or the latest record of each key if `complete`.
    pub records: Vec<Record>,
    /// Offset of the first change after this batch.
    pub next_offset: Offset,
    /// Whether the records are all keys of the table rather than recent changes only.
    pub complete: bool,
}

impl Page {
    /// Returns the memory that the records take, in bytes.
    pub fn cost(&self) -> usize {
        self.records.iter().map(Record::cost).sum()
    }
}

/// One of several messages that bring a peer's copy up to date.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Chunk {
    /// Records of this chunk. The peer's copy ends at the page's `next_offset` once it has applied
    /// them.
    pub page: Page,
    /// Whether more chunks follow.
    pub more: bool,
}

/// Local copy of a table.
///
/// Invariant: `rows` holds the latest record of each key that changed at or after `history_start`,
/// removals included. Earlier removals may be missing, since a complete page lists only keys that
/// still exist.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: BTreeMap<String, Record>,
    next_offset: Offset,
    /// Offset from which on no removal is missing from `rows`.
    history_start: Offset,
}

impl Table {
    /// Applies a page and returns the keys whose records changed. A page that is older than the
    /// table has no effect.
    pub fn apply(&mut self, page: Page) -> Vec<String> {
        if page.next_offset < self.next_offset
            || (page.next_offset == self.next_offset && !page.complete)
        {
            return Vec::new();
        }
        let mut changed = Vec::new();
        if page.complete {
            self.history_start = page.next_offset;
            let listed: BTreeSet<&str> = page.records.iter().map(|r| r.key.as_str()).collect();
            let removed = self.rows.values().filter(|r| r.value.is_some());
            let removed = removed.filter(|r| !listed.contains(r.key.as_str()));
            let removed: Vec<String> = removed.map(|r| r.key.clone()).collect();
            for key in removed {
                let removal = Record {
                    key: key.clone(),
                    value: None,
                    offset: page.next_offset.saturating_sub(1),
                };
                self.rows.insert(key.clone(), removal);
                changed.push(key);
            }
        }
        for record in page.records {
            let current = self.rows.get(&record.key);
            let unchanged = |k: &Record| k.offset == record.offset && k.value == record.value;
            if current.is_some_and(|k| k.offset > record.offset || unchanged(k)) {
                continue;
            }
            changed.push(record.key.clone());
            self.rows.insert(record.key.clone(), record);
        }
        self.next_offset = page.next_offset;
        changed
    }

    /// Replaces the value of a key that exists by one that the store has lost.
    pub fn restore(&mut self, key: &str, value: Arc<[u8]>) {
        if let Some(record) = self.rows.get_mut(key) {
            record.value = Some(value);
        }
    }

    /// Returns the value of `key`.
    pub fn get(&self, key: &str) -> Option<&Arc<[u8]>> {
        self.rows.get(key)?.value.as_ref()
    }

    /// Returns all keys that have a value, with their values.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &Arc<[u8]>)> {
        let rows = self.rows.values();
        rows.filter_map(|r| Some((r.key.as_str(), r.value.as_ref()?)))
    }

    /// Returns the offset of the next change that the copy lacks.
    pub fn next_offset(&self) -> Offset {
        self.next_offset
    }

    /// Returns everything that [`Table::changes`] returns, as one page.
    pub fn since(&self, from: Offset) -> Page {
        self.changes(from, usize::MAX).page
    }

    /// Returns the oldest changes from `from` on, for a peer whose copy ends there, limited to
    /// about `max_bytes` bytes. If `from` is before the start of the history, returns the first
    /// chunk of all keys instead: changes alone would lack earlier removals, and the peer would
    /// keep endpoints that no longer exist.
    pub fn changes(&self, from: Offset, max_bytes: usize) -> Chunk {
        if from < self.history_start {
            return self.keys(0, max_bytes);
        }
        let wanted = self.rows.values().filter(|r| r.offset >= from);
        let (records, more) = oldest_records(wanted.collect(), max_bytes);
        let next = match records.last() {
            Some(last) if more => last.offset + 1,
            _ => self.next_offset,
        };
        let page = Page {
            records,
            next_offset: next,
            complete: false,
        };
        Chunk { page, more }
    }

    /// Returns the existing keys that last changed at `from` or later, oldest change first, limited
    /// to about `max_bytes` bytes. A key that changes while the peer collects the chunks is sent
    /// again in a later chunk, or among the changes from the first chunk's `next_offset` on.
    pub fn keys(&self, from: Offset, max_bytes: usize) -> Chunk {
        let present = self.rows.values().filter(|r| r.value.is_some());
        let wanted = present.filter(|r| r.offset >= from);
        let (records, more) = oldest_records(wanted.collect(), max_bytes);
        let page = Page {
            records,
            next_offset: self.next_offset,
            complete: true,
        };
        Chunk { page, more }
    }
}

/// Returns the oldest of `records` up to about `max_bytes` bytes, and whether some are left over.
/// Records with the same offset are never split, since a peer continues after the last offset that
/// it received.
fn oldest_records(mut records: Vec<&Record>, max_bytes: usize) -> (Vec<Record>, bool) {
    records.sort_unstable_by_key(|r| r.offset);
    let mut bytes = 0;
    let mut end = 0;
    while end < records.len() {
        let same_offset = end > 0 && records[end].offset == records[end - 1].offset;
        if bytes >= max_bytes && !same_offset {
            break;
        }
        bytes += records[end].size();
        end += 1;
    }
    let more = end < records.len();
    records.truncate(end);
    (records.into_iter().cloned().collect(), more)
}
