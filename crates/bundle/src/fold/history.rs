//! Bounded history of the versions that were in force.

use crate::digest::Digest;
use crate::id::Number;
use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;

/// Maximum number of retained entries of about 200 bytes each; they span an hour and a half at
/// 16,000 versions a day.
const MAX_ENTRIES: usize = 1_024;

/// Maximum total size, in bytes, of the version records retained for peers that are a few
/// versions behind.
const MAX_RECENT_BYTES: usize = 256 << 10;

/// A version that was in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Number of the version.
    pub number: Number,
    /// Name of the signer.
    pub signer: String,
    /// Digest of the sections.
    pub digest: Digest,
    /// Digest of the parent version's sections; all zero for the first version.
    pub parent: Digest,
    /// Identity of the signed version, see [`crate::signed::Header::id`].
    pub id: Digest,
    /// Offset of its record in the log; `None` for a version from a checkpoint or a peer.
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
    /// Number of the version.
    pub number: Number,
    /// Encoded record.
    pub body: Arc<[u8]>,
}

/// History of one branch of a fold.
#[derive(Clone, Debug, Default)]
pub(super) struct History {
    entries: VecDeque<Entry>,
    recent: VecDeque<RecentRecord>,
    bytes: usize,
}

impl History {
    /// Returns the entries, oldest first.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &Entry> {
        self.entries.iter()
    }

    /// Returns whether the history contains the version with identity `id`.
    pub fn contains(&self, id: &Digest) -> bool {
        self.entries.iter().any(|e| e.id == *id)
    }

    /// Returns the entry of version `number`.
    pub fn get(&self, number: Number) -> Option<&Entry> {
        self.entries.iter().rev().find(|e| e.number == number)
    }

    /// Adds an entry. Drops entries with the same or a higher number, which exist when reading
    /// restarted from an earlier checkpoint.
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

    /// Retains the record of a version for peers, and drops the oldest records beyond
    /// [`MAX_RECENT_BYTES`].
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

    /// Appends the entries and records of `other`, which follow those of `self`.
    pub fn append(&mut self, other: Self) {
        for entry in other.entries {
            self.push(entry);
        }
        for recent in other.recent {
            self.push_record(recent.number, &recent.body);
        }
    }

    /// Returns the retained version records, oldest first.
    pub fn recent(&self) -> impl Iterator<Item = &RecentRecord> + Clone {
        self.recent.iter()
    }
}
