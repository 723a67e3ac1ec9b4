//! Roster: the table of known nodes, including this one.

use crate::Now;
use crate::identity::{Id, Identity};
use crate::message::{Bucket, Row, RowIndex};
use crate::peer::Peer;
use xxhash_rust::xxh3::Xxh3;

/// Number of buckets of a roster. Two rosters that differ exchange all rows of the differing buckets:
/// more buckets make a difference cheaper, but every digest longer.
pub const BUCKETS: usize = 16;

/// Rows of the known nodes by bucket; each bucket is sorted by id.
#[derive(Clone, Debug)]
pub struct Roster {
    rows: Vec<Vec<Peer>>,
    hashes: Vec<u32>,
}

/// Returns the index of the bucket that holds `id`.
pub fn bucket(id: Id) -> usize {
    (id % BUCKETS as u64) as usize
}

impl Default for Roster {
    fn default() -> Self {
        let mut roster = Self {
            rows: vec![Vec::new(); BUCKETS],
            hashes: vec![0; BUCKETS],
        };
        (0..BUCKETS).for_each(|b| roster.rehash(b));
        roster
    }
}

impl Roster {
    /// Iterates over all rows by bucket and id.
    pub fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.rows.iter().flatten()
    }

    /// Iterates over all rows by bucket and id. Callers must not change ids and incarnations, which the
    /// bucket hashes cover.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Peer> {
        self.rows.iter_mut().flatten()
    }

    /// Returns the row of `id`.
    pub fn get(&self, id: Id) -> Option<&Peer> {
        let rows = &self.rows[bucket(id)];
        rows.binary_search_by_key(&id, |p| p.id)
            .ok()
            .map(|i| &rows[i])
    }

    /// Returns the row of `id`. Callers must not change its id and incarnation, which the bucket hash covers.
    pub(crate) fn get_mut(&mut self, id: Id) -> Option<&mut Peer> {
        let rows = &mut self.rows[bucket(id)];
        let found = rows.binary_search_by_key(&id, |p| p.id).ok();
        found.map(|i| &mut rows[i])
    }

    /// Inserts or replaces a row. Returns false and changes nothing if its bucket is full: a
    /// [`RowIndex`] is one byte.
    pub(crate) fn insert(&mut self, peer: Peer) -> bool {
        let index = bucket(peer.id);
        let rows = &mut self.rows[index];
        match rows.binary_search_by_key(&peer.id, |p| p.id) {
            Ok(i) => rows[i] = peer,
            Err(_) if rows.len() > usize::from(RowIndex::MAX) => return false,
            Err(i) => rows.insert(i, peer),
        }
        self.rehash(index);
        true
    }

    /// Removes and returns the row of `id`.
    pub(crate) fn remove(&mut self, id: Id) -> Option<Peer> {
        let index = bucket(id);
        let at = self.rows[index].binary_search_by_key(&id, |p| p.id).ok()?;
        let peer = self.rows[index].remove(at);
        self.rehash(index);
        Some(peer)
    }

    /// Returns the rows of a bucket; empty if `index` is out of range.
    pub fn bucket(&self, index: Bucket) -> &[Peer] {
        self.rows.get(usize::from(index)).map_or(&[], Vec::as_slice)
    }

    /// Returns the hash over the ids and incarnations of a bucket.
    pub fn hash(&self, index: Bucket) -> Option<u32> {
        self.hashes.get(usize::from(index)).copied()
    }

    /// Returns the number of rows.
    pub fn len(&self) -> usize {
        self.rows.iter().map(Vec::len).sum()
    }

    /// Returns whether the roster has no rows.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the row of a node of another name with the same address as `identity`.
    pub(crate) fn address_conflict(&self, identity: &Identity) -> Option<&Peer> {
        self.iter()
            .find(|p| p.identity.addr == identity.addr && p.identity.name != identity.name)
    }

    /// Computes the hash of a bucket from its rows.
    pub(crate) fn computed_hash(&self, index: usize) -> u32 {
        let mut hash = Xxh3::new();
        for peer in &self.rows[index] {
            hash.update(&peer.id.to_le_bytes());
            hash.update(&peer.identity.incarnation.to_le_bytes());
        }
        hash.digest() as u32
    }

    fn rehash(&mut self, index: usize) {
        self.hashes[index] = self.computed_hash(index);
    }
}

/// Returns the row of a peer as sent in messages.
pub(crate) fn to_row(peer: &Peer) -> Row {
    Row {
        identity: peer.identity.clone(),
        refutations: peer.refutations,
    }
}

/// Returns the time from `then` to `now`; zero if `then` is in the future.
pub(crate) fn age(now: Now, then: Now) -> Now {
    now.saturating_sub(then)
}
