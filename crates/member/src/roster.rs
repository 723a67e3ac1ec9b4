//! The table of nodes that have been heard of, this one among them.

use crate::Now;
use crate::identity::{Id, Identity};
use crate::message::{Bucket, Row, RowIndex};
use crate::peer::Peer;
use xxhash_rust::xxh3::Xxh3;

/// Number of buckets. A difference between two rosters costs the rows of one bucket, so more
/// buckets make differences cheaper and every digest longer.
pub const BUCKETS: usize = 16;

/// Rows by bucket, each sorted by id.
#[derive(Clone, Debug)]
pub struct Roster {
    rows: Vec<Vec<Peer>>,
    hashes: Vec<u32>,
}

/// The bucket of `id`.
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
    /// All rows in a fixed order.
    pub fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.rows.iter().flatten()
    }

    /// All rows in a fixed order; ids and runs stay as they are.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Peer> {
        self.rows.iter_mut().flatten()
    }

    /// The row of `id`.
    pub fn get(&self, id: Id) -> Option<&Peer> {
        let rows = &self.rows[bucket(id)];
        rows.binary_search_by_key(&id, |p| p.id)
            .ok()
            .map(|i| &rows[i])
    }

    /// The row of `id`; its id and run stay as they are.
    pub(crate) fn get_mut(&mut self, id: Id) -> Option<&mut Peer> {
        let rows = &mut self.rows[bucket(id)];
        let found = rows.binary_search_by_key(&id, |p| p.id).ok();
        found.map(|i| &mut rows[i])
    }

    /// Adds or replaces a row. Nothing happens when its bucket is full, since a place is a byte.
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

    /// Takes a row out.
    pub(crate) fn remove(&mut self, id: Id) -> Option<Peer> {
        let index = bucket(id);
        let at = self.rows[index].binary_search_by_key(&id, |p| p.id).ok()?;
        let peer = self.rows[index].remove(at);
        self.rehash(index);
        Some(peer)
    }

    /// The rows of one bucket.
    pub fn bucket(&self, index: Bucket) -> &[Peer] {
        self.rows.get(usize::from(index)).map_or(&[], Vec::as_slice)
    }

    /// Hash over ids and runs of one bucket.
    pub fn hash(&self, index: Bucket) -> Option<u32> {
        self.hashes.get(usize::from(index)).copied()
    }

    /// Number of rows.
    pub fn len(&self) -> usize {
        self.rows.iter().map(Vec::len).sum()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Row of another node that says it listens on the address of `identity`.
    pub(crate) fn address_conflict(&self, identity: &Identity) -> Option<&Peer> {
        self.iter()
            .find(|p| p.identity.addr == identity.addr && p.identity.name != identity.name)
    }

    /// The hash that `index` should have.
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

/// The row as it is sent.
pub(crate) fn to_row(peer: &Peer) -> Row {
    Row {
        identity: peer.identity.clone(),
        refutations: peer.refutations,
    }
}

/// Age of a time, zero if it is ahead.
pub(crate) fn age(now: Now, then: Now) -> Now {
    now.saturating_sub(then)
}
