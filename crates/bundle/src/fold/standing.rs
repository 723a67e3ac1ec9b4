//! Where a given version stands, for whoever published it.

use super::Fold;
use super::history::Entry;
use crate::signed::Header;

/// Where a version stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It was accepted.
    Accepted(Entry),
    /// Another version has its number.
    Lost(Entry),
    /// It could be accepted: its parent is the head.
    Open,
    /// Its parent isn't known: the log wasn't read far enough, or the parent lost.
    Unknown,
    /// The head is past it, and the history doesn't reach back to its number.
    Past,
}

impl Fold {
    /// Where the version with `header` stands.
    pub fn standing(&self, header: &Header) -> Standing {
        let head = self.shown().map(|k| &k.bundle);
        let number = head.map_or(0, |b| b.number);
        let digest = head.map_or_else(Default::default, |b| b.digest);
        if number >= header.number {
            return self.past(header);
        }
        let follows = number + 1 == header.number && digest == header.parent;
        if follows {
            Standing::Open
        } else {
            Standing::Unknown
        }
    }

    /// Where a version stands whose number the head has reached.
    fn past(&self, header: &Header) -> Standing {
        match self.history().rev().find(|e| e.number == header.number) {
            Some(entry) if entry.id == header.id() => Standing::Accepted(entry.clone()),
            Some(entry) => Standing::Lost(entry.clone()),
            None => Standing::Past,
        }
    }
}
