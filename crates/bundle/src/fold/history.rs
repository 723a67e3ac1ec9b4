//! Versions that were in force, as far back as they are kept.

use crate::digest::Digest;
use crate::id::Number;
use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;

/// Most entries kept: at 16,000 versions a day an hour and a half, about 200 bytes each.
const MAX_ENTRIES: usize = 1_024;

/// Most bytes of recent version records kept for peers that are a few versions behind.
const MAX_RECENT_BYTES: usize = 256 << 10;

/// A version that was in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Its number.
    pub number: Number,
    /// Name of who signed it.
    pub signer: String,
    /// Digest of its sections.
    pub digest: Digest,
    /// Digest of the version it follows.
    pub parent: Digest,
    /// Identity of the signed version.
    pub id: Digest,
    /// Offset of its record; `None` if it came by a checkpoint or a peer.
    pub offset: Option<u64>,
}

impl fmt::Display for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {}", self.number, self.signer, self.digest)?;
        match self.offset {
            Some(offset) => write!(f, " offset {offset}"),
            None => f.write_str(" adopted"),
        }
    }
}

/// An encoded version record.
#[derive(Clone, Debug)]
pub(super) struct RecentRecord {
    /// Its number.
    pub number: Number,
    /// The record.
    pub body: Arc<[u8]>,
}

/// The history of one fold.
#[derive(Clone, Debug, Default)]
pub(super) struct History {
    entries: VecDeque<Entry>,
    recent: VecDeque<RecentRecord>,
    bytes: usize,
}

impl History {
    /// Entries, oldest first.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &Entry> {
        self.entries.iter()
    }

    /// Whether a version with identity `id` is in it.
    pub fn contains(&self, id: &Digest) -> bool {
        self.entries.iter().any(|e| e.id == *id)
    }

    /// The entry with `number`.
    pub fn get(&self, number: Number) -> Option<&Entry> {
        self.entries.iter().rev().find(|e| e.number == number)
    }

    /// Adds an entry. Entries with the same or a higher number are dropped: reading started
    /// again from an earlier checkpoint.
    pub fn push(&mut self, entry: Entry) {
        let replaced = |e: &Entry| e.number >= entry.number;
        while self.entries.back().is_some_and(replaced) {
            self.entries.pop_back();
        }
        self.entries.push_back(entry);
        if self.entries.len() > MAX_ENTRIES {
            self.entries.pop_front();
        }
    }

    /// Keeps the record of a version for peers.
    pub fn push_record(&mut self, number: Number, body: &[u8]) {
        let replaced = |r: &RecentRecord| r.number >= number;
        while self.recent.back().is_some_and(replaced) {
            let dropped = self.recent.pop_back();
            self.bytes -= dropped.map_or(0, |r| r.body.len());
        }
        self.bytes += body.len();
        self.recent.push_back(RecentRecord {
            number,
            body: body.into(),
        });
        while self.bytes > MAX_RECENT_BYTES {
            let dropped = self.recent.pop_front();
            self.bytes -= dropped.map_or(0, |r| r.body.len());
        }
    }

    /// Adds all of `other`, which comes after this.
    pub fn append(&mut self, other: Self) {
        for entry in other.entries {
            self.push(entry);
        }
        for recent in other.recent {
            self.push_record(recent.number, &recent.body);
        }
    }

    /// Version records that are kept, oldest first.
    pub fn recent(&self) -> impl Iterator<Item = &RecentRecord> + Clone {
        self.recent.iter()
    }
}
