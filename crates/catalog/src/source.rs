//! Where the catalog and the endpoints come from: two tables that others write.
//!
//! A table is the newest record of each key, together with the offset up to which it is known.
//! Offsets order all changes of a table, so two copies of it can be compared: the one that is
//! known further replaces the other, and a node that can't read the source takes a peer's copy.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Place of a change in its table.
pub type Offset = u64;

/// A change of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The key.
    pub key: String,
    /// Its value; nothing if the key was removed.
    pub value: Option<Arc<[u8]>>,
    /// Place of the change.
    pub offset: Offset,
}

impl Record {
    /// About how many bytes it takes between nodes.
    fn size(&self) -> usize {
        size_of::<Offset>() + self.key.len() + self.value.as_ref().map_or(0, |v| v.len())
    }
}

/// Changes of a table.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The changes in order.
    pub records: Vec<Record>,
    /// Offset of the next change that is not in here.
    pub next_offset: Offset,
    /// Whether these are all keys that there are, and not only changes.
    pub complete: bool,
}

/// A chunk of what a table has for a peer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Chunk {
    /// The records of this chunk. Their `next` is where the peer's copy ends once it has them.
    pub page: Page,
    /// Whether more chunks follow.
    pub more: bool,
}

/// A copy of a table.
///
/// Invariant: of each change from `kept` on that is not superseded, the rows have its record, removals
/// too. Before it removals may be missing, since a page of all keys does not name what was removed.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: BTreeMap<String, Record>,
    next_offset: Offset,
    history_start: Offset,
}

impl Table {
    /// Takes changes in; returns the keys that are different now. A page that is older than the
    /// table changes nothing.
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

    /// The value of `key`.
    pub fn get(&self, key: &str) -> Option<&Arc<[u8]>> {
        self.rows.get(key)?.value.as_ref()
    }

    /// All keys with a value.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &Arc<[u8]>)> {
        let rows = self.rows.values();
        rows.filter_map(|r| Some((r.key.as_str(), r.value.as_ref()?)))
    }

    /// Offset of the next change that is not known.
    pub fn next_offset(&self) -> Offset {
        self.next_offset
    }

    /// All that [`Table::changes`] gives, in one page.
    pub fn since(&self, from: Offset) -> Page {
        self.changes(from, usize::MAX).page
    }

    /// The oldest changes from `from` on, for a peer whose copy ends there, in at most about `max_bytes`
    /// bytes; the first chunk of all keys if not all of these changes are kept. Given as changes,
    /// they would leave the peer with endpoints that are gone.
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

    /// The keys that last changed at `from` or later, the oldest first, in at most about `max_bytes`
    /// bytes. A key that changes while its peer gathers the chunks comes again in a later one, or
    /// among the changes from the first chunk's `next` on.
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

/// The oldest of some records in about `max_bytes` bytes, and whether some are left over. Records of
/// one offset stay together, since a peer goes on behind the last offset that it has.
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
