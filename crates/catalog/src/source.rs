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

/// Changes of a table.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The changes in order.
    pub records: Vec<Record>,
    /// Offset of the next change that is not in here.
    pub next: Offset,
    /// Whether these are all keys that there are, and not only changes.
    pub whole: bool,
}

/// A copy of a table.
///
/// Invariant: of each change from `kept` on that is not superseded, the rows have its record, removals
/// too. Before it removals may be missing, since a page of all keys does not name what was removed.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: BTreeMap<String, Record>,
    next: Offset,
    kept: Offset,
}

impl Table {
    /// Takes changes in; returns the keys that are different now. A page that is older than the
    /// table changes nothing.
    pub fn take(&mut self, page: Page) -> Vec<String> {
        if page.next < self.next || (page.next == self.next && !page.whole) {
            return Vec::new();
        }
        let mut changed = Vec::new();
        if page.whole {
            self.kept = page.next;
            let named: BTreeSet<&str> = page.records.iter().map(|r| r.key.as_str()).collect();
            let lost = self.rows.values().filter(|r| r.value.is_some());
            let lost = lost.filter(|r| !named.contains(r.key.as_str()));
            let lost: Vec<String> = lost.map(|r| r.key.clone()).collect();
            for key in lost {
                let gone = Record {
                    key: key.clone(),
                    value: None,
                    offset: page.next.saturating_sub(1),
                };
                self.rows.insert(key.clone(), gone);
                changed.push(key);
            }
        }
        for record in page.records {
            let known = self.rows.get(&record.key);
            let same = |k: &Record| k.offset == record.offset && k.value == record.value;
            if known.is_some_and(|k| k.offset > record.offset || same(k)) {
                continue;
            }
            changed.push(record.key.clone());
            self.rows.insert(record.key.clone(), record);
        }
        self.next = page.next;
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
    pub fn next(&self) -> Offset {
        self.next
    }

    /// The changes from `from` on, for a peer whose copy ends there; all keys if not all of these
    /// changes are kept. Given as changes, they would leave the peer with endpoints that are gone.
    pub fn since(&self, from: Offset) -> Page {
        let whole = from < self.kept;
        let wanted = |r: &&Record| match whole {
            true => r.value.is_some(),
            false => r.offset >= from,
        };
        Page {
            records: self.rows.values().filter(wanted).cloned().collect(),
            next: self.next,
            whole,
        }
    }
}
