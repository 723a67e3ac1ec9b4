//! Exchange of digests: whatever was missed arrives, each item once.
//!
//! The asker sends the version of every origin, by bucket. The asked one answers with the items
//! that the asker lacks and the rows where it lacks some itself; the asker then sends those.
//! Where the rosters of a bucket differ, versions have no common order: the rows are exchanged
//! first, and the items in a later round.

use crate::Now;
use crate::action::Action;
use crate::group::Group;
use crate::identity::{Id, id};
use crate::item::{self, Item, Version};
use crate::message::{
    self, Batch, Body, Bucket, Delta, KnownVersion, Publication, Request, Row, RowIndex, Summary,
};
use crate::peer::Peer;
use crate::roster::{BUCKETS, to_row};
use rand::RngExt;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Bytes of a batch without its items, as an estimate.
const BATCH_OVERHEAD_BYTES: usize = 8;
/// Bytes of a small item, as an estimate.
const SMALL_ITEM_BYTES: usize = 7;

/// Bytes of an item in a frame, as an estimate.
fn estimated_bytes(body: &item::Observation) -> usize {
    match body {
        item::Observation::Endpoint { name, .. } | item::Observation::Releasing { name, .. } => {
            SMALL_ITEM_BYTES + 8 + name.len()
        }
        item::Observation::Suspect { .. } | item::Observation::Condemned { .. } => {
            SMALL_ITEM_BYTES + 8
        }
        _ => SMALL_ITEM_BYTES,
    }
}

impl Group {
    /// What this node knows.
    pub(crate) fn summaries(&self) -> Vec<Summary> {
        let summary = |bucket: usize| {
            let rows = self.roster.bucket(bucket as Bucket);
            let hash = self.roster.hash(bucket as Bucket).unwrap_or_default();
            Summary {
                hash,
                versions: rows.iter().map(|p| p.version).collect(),
            }
        };
        (0..BUCKETS).map(summary).collect()
    }

    pub(crate) fn send_digest(&mut self, partner: Id, out: &mut Vec<Action>) {
        let Some(to) = self.addr(partner) else { return };
        let digest = self.summaries();
        self.send(partner, to, Body::Digest(digest), out);
    }

    /// Answers a digest. Starts at a random bucket, so that a full answer does not always leave
    /// out the same ones.
    pub(crate) fn handle_digest(
        &mut self,
        now: Now,
        peer: Id,
        to: SocketAddr,
        theirs: &[Summary],
        out: &mut Vec<Action>,
    ) {
        if theirs.len() != BUCKETS {
            self.counters.stale += 1;
            return;
        }
        let first = self.rng.random_range(0..BUCKETS);
        let mut room = self.settings.max_delta_bytes;
        let mut delta = Delta::default();
        for step in 0..BUCKETS {
            let index = (first + step) % BUCKETS;
            self.answer_bucket(now, index as Bucket, &theirs[index], &mut room, &mut delta);
        }
        self.counters.differing += u64::from(!delta.complete.is_empty());
        if delta != Delta::default() {
            self.send(peer, to, Body::Delta(delta), out);
        }
    }

    fn answer_bucket(
        &self,
        now: Now,
        bucket: Bucket,
        theirs: &Summary,
        room: &mut usize,
        delta: &mut Delta,
    ) {
        let rows = self.roster.bucket(bucket);
        let hash = self.roster.hash(bucket).unwrap_or_default();
        if hash != theirs.hash || rows.len() != theirs.versions.len() {
            if delta.rows.len() + rows.len() <= self.settings.max_delta_rows {
                delta.rows.extend(rows.iter().map(to_row));
                delta.complete.push(bucket);
            }
            return;
        }
        let behind = |i: usize, p: &Peer| p.version < theirs.versions[i];
        let gap = |i: usize, p: &Peer| KnownVersion {
            row: i as RowIndex,
            version: p.version,
        };
        let gaps = rows.iter().enumerate().filter(|(i, p)| behind(*i, p));
        let gaps: Vec<KnownVersion> = gaps.map(|(i, p)| gap(i, p)).collect();
        if !gaps.is_empty() {
            delta.requests.push(Request {
                bucket,
                hash,
                known: gaps,
            });
        }
        let known = theirs.versions.iter().enumerate();
        let known = known.map(|(i, v)| KnownVersion {
            row: i as RowIndex,
            version: *v,
        });
        self.fill(now, bucket, known, room, delta);
    }

    /// Adds what is newer than `gaps` for the origins of one bucket, as far as there is room.
    fn fill(
        &self,
        now: Now,
        bucket: Bucket,
        gaps: impl Iterator<Item = KnownVersion>,
        room: &mut usize,
        delta: &mut Delta,
    ) {
        let rows = self.roster.bucket(bucket);
        let mut batches = Vec::new();
        for gap in gaps {
            let Some(peer) = rows.get(usize::from(gap.row)) else {
                continue;
            };
            if peer.version > gap.version && *room > BATCH_OVERHEAD_BYTES {
                batches.extend(self.batch(now, peer, gap, room));
            }
        }
        if batches.is_empty() {
            return;
        }
        let hash = self.roster.hash(bucket).unwrap_or_default();
        delta.items.push(message::BucketItems {
            bucket,
            hash,
            batches,
        });
    }

    /// Whole publications in their order. What came ahead of its turn (version above the row's)
    /// is left out, or the receiver would take the versions between for known.
    fn batch(&self, now: Now, peer: &Peer, gap: KnownVersion, room: &mut usize) -> Option<Batch> {
        let mut prints: BTreeMap<Version, Vec<item::Observation>> = BTreeMap::new();
        for (_, slot) in self.store.items(peer.id) {
            if slot.version > gap.version && slot.version <= peer.version {
                prints
                    .entry(slot.version)
                    .or_default()
                    .push(slot.with_remaining_ttl(now));
            }
        }
        let mut batch = Batch {
            row: gap.row,
            up_to: peer.version,
            publications: Vec::new(),
        };
        let mut upto = gap.version;
        *room = room.saturating_sub(BATCH_OVERHEAD_BYTES);
        for (version, bodies) in prints {
            let size: usize = 2 + bodies.iter().map(estimated_bytes).sum::<usize>();
            if size > *room {
                batch.up_to = upto;
                break;
            }
            *room -= size;
            upto = version;
            batch.publications.push(Publication {
                version,
                observations: bodies,
            });
        }
        (batch.up_to > gap.version).then_some(batch)
    }

    pub(crate) fn handle_delta(
        &mut self,
        now: Now,
        peer: Id,
        to: SocketAddr,
        delta: Delta,
        out: &mut Vec<Action>,
    ) {
        let Delta {
            items: groups,
            rows,
            complete: whole,
            requests: wants,
        } = delta;
        groups
            .into_iter()
            .for_each(|g| self.apply_bucket(now, g, out));
        self.apply_rows(now, peer, to, rows, &whole, out);
        let mut answer = Delta::default();
        let mut room = self.settings.max_delta_bytes;
        for want in wants {
            if self.roster.hash(want.bucket) == Some(want.hash) {
                self.fill(
                    now,
                    want.bucket,
                    want.known.into_iter(),
                    &mut room,
                    &mut answer,
                );
            }
        }
        if !answer.items.is_empty() {
            self.send(peer, to, Body::Delta(answer), out);
        }
    }

    fn apply_bucket(&mut self, now: Now, group: message::BucketItems, out: &mut Vec<Action>) {
        for batch in group.batches {
            // A row that came or went since the digest was sent moves the places of the others.
            if self.roster.hash(group.bucket) != Some(group.hash) {
                return;
            }
            let place = usize::from(batch.row);
            let Some(row) = self.roster.bucket(group.bucket).get(place) else {
                continue;
            };
            let (origin, incarnation) = (row.id, row.identity.incarnation);
            if origin != self.me {
                self.apply_batch(now, origin, incarnation, batch, out);
            }
        }
    }

    fn apply_batch(
        &mut self,
        now: Now,
        origin: Id,
        incarnation: u64,
        batch: Batch,
        out: &mut Vec<Action>,
    ) {
        for print in batch.publications {
            for body in print.observations {
                let version = print.version;
                self.learn(
                    now,
                    Item {
                        origin,
                        incarnation,
                        version,
                        body,
                    },
                    out,
                );
            }
        }
        if let Some(row) = self.roster.get_mut(origin) {
            row.version = row.version.max(batch.up_to);
        }
    }

    fn apply_rows(
        &mut self,
        now: Now,
        peer: Id,
        to: SocketAddr,
        rows: Vec<Row>,
        whole: &[Bucket],
        out: &mut Vec<Action>,
    ) {
        let theirs: BTreeMap<Id, u64> = rows
            .iter()
            .map(|r| (id(&r.identity.name), r.identity.incarnation))
            .collect();
        rows.into_iter().for_each(|r| self.merge_row(now, r, out));
        let lacks = |p: &&Peer| {
            theirs
                .get(&p.id)
                .is_none_or(|run| *run < p.identity.incarnation)
        };
        let missing = whole
            .iter()
            .flat_map(|b| self.roster.bucket(*b))
            .filter(lacks);
        let missing: Vec<Row> = missing
            .map(to_row)
            .take(self.settings.max_delta_rows)
            .collect();
        if !missing.is_empty() {
            self.send(peer, to, Body::Rows(missing), out);
        }
    }
}
