//! Index from names to ids.

use crate::finding::{Finding, Findings, Level};
use crate::id::{KindId, ModelId, PriorityId, ServiceId, ZoneId};
use crate::nearest::nearest;
use crate::section::Kind;
use crate::sections::Sections;
use std::cell::Cell;
use std::collections::BTreeMap;

/// Maximum number of unknown names per table for which the nearest known name is searched: each
/// search scans the table, and malicious text could cause a million of them.
const MAX_NEAREST_SEARCHES: u32 = 64;

/// Type of the ids of one table.
pub(super) trait Id: Copy + TryFrom<usize> {}

impl<T: Copy + TryFrom<usize>> Id for T {}

/// Index from the names of one table to their ids.
pub(super) struct Index<'a, I> {
    kind: Kind,
    ids: BTreeMap<&'a str, I>,
    searches: Cell<u32>,
}

impl<'a, I: Id> Index<'a, I> {
    /// Assigns ids in the order of `names`; a finding if the id type can't represent all of them.
    fn new(kind: Kind, names: impl Iterator<Item = &'a str>, findings: &mut Findings) -> Self {
        let mut ids = BTreeMap::new();
        for (i, name) in names.enumerate() {
            match I::try_from(i) {
                Ok(id) => {
                    ids.insert(name, id);
                }
                Err(_) => {
                    findings.push(too_many(kind, i));
                    break;
                }
            }
        }
        Self {
            kind,
            ids,
            searches: Cell::new(0),
        }
    }

    /// Returns the id of `name`.
    pub fn get(&self, name: &str) -> Option<I> {
        self.ids.get(name).copied()
    }

    /// Returns the known name most similar to `name`; `None` once [`MAX_NEAREST_SEARCHES`] searches
    /// were made.
    pub fn nearest(&self, name: &str) -> Option<&'a str> {
        if self.searches.get() >= MAX_NEAREST_SEARCHES {
            return None;
        }
        self.searches.set(self.searches.get() + 1);
        nearest(name, self.ids.keys().copied())
    }

    /// Returns the name of the kind of the rows, for findings.
    pub fn kind_name(&self) -> &'static str {
        self.kind.as_str()
    }
}

/// Indexes of the tables whose rows other sections refer to.
pub(super) struct Names<'a> {
    pub zones: Index<'a, ZoneId>,
    pub kinds: Index<'a, KindId>,
    pub models: Index<'a, ModelId>,
    pub services: Index<'a, ServiceId>,
    pub priorities: Index<'a, PriorityId>,
}

impl<'a> Names<'a> {
    /// Builds the indexes.
    pub fn new(sections: &'a Sections, findings: &mut Findings) -> Self {
        let ranked = super::priority::ranked(sections);
        Self {
            zones: index(sections, Kind::Zone, findings),
            kinds: index(sections, Kind::Kind, findings),
            models: index(sections, Kind::Model, findings),
            services: index(sections, Kind::Service, findings),
            priorities: Index::new(Kind::Priority, ranked.into_iter(), findings),
        }
    }
}

/// Builds the index of a table that is sorted by name.
fn index<'a, I: Id>(sections: &'a Sections, kind: Kind, findings: &mut Findings) -> Index<'a, I> {
    let names = sections.of_kind(kind).map(|s| s.key().name.as_str());
    Index::new(kind, names, findings)
}

/// Returns the finding for a table with more rows than its id type can represent.
fn too_many(kind: Kind, max_rows: usize) -> Finding {
    Finding {
        level: Level::Error,
        line: 0,
        section: kind.as_str().into(),
        key: String::new(),
        message: format!("more than {max_rows} of this kind"),
    }
}
