//! Where a given version stands, for whoever published it.

use super::Fold;
use super::history::Entry;
use crate::signed::Header;

/// Where a version stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Status {
    /// It was accepted.
    Accepted(Entry),
    /// Another version has its number.
    Lost(Entry),
    /// It could be accepted: its parent is the head.
    Acceptable,
    /// Its parent isn't known: the log wasn't read far enough, or the parent lost.
    UnknownParent,
    /// The head is past it, and the history doesn't reach back to its number.
    Superseded,
}

impl Fold {
    /// Where the version with `header` stands.
    pub fn status(&self, header: &Header) -> Status {
        let head = self.current().map(|k| &k.bundle);
        let number = head.map_or(0, |b| b.number);
        let digest = head.map_or_else(Default::default, |b| b.digest);
        if number >= header.number {
            return self.status_below_head(header);
        }
        let follows = number + 1 == header.number && digest == header.parent;
        if follows {
            Status::Acceptable
        } else {
            Status::UnknownParent
        }
    }

    /// Where a version stands whose number the head has reached.
    fn status_below_head(&self, header: &Header) -> Status {
        match self.history().rev().find(|e| e.number == header.number) {
            Some(entry) if entry.id == header.id() => Status::Accepted(entry.clone()),
            Some(entry) => Status::Lost(entry.clone()),
            None => Status::Superseded,
        }
    }
}
