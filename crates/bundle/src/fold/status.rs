//! Status of a given version relative to the head, for its publisher.

use super::Fold;
use super::history::Entry;
use crate::signed::Header;

/// Status of a version relative to the head in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Status {
    /// The version was accepted or adopted.
    Accepted(Entry),
    /// Another version was accepted under its number.
    Lost(Entry),
    /// The version can be accepted: its parent is the head.
    Acceptable,
    /// Its parent is not the head: the log has not been read far enough, or the parent lost.
    UnknownParent,
    /// The head has reached its number, and the history no longer has the entry of that number.
    Superseded,
}

impl Fold {
    /// Returns the status of the version with `header`.
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

    /// Returns the status of a version whose number the head has reached.
    fn status_below_head(&self, header: &Header) -> Status {
        match self.history().rev().find(|e| e.number == header.number) {
            Some(entry) if entry.id == header.id() => Status::Accepted(entry.clone()),
            Some(entry) => Status::Lost(entry.clone()),
            None => Status::Superseded,
        }
    }
}
