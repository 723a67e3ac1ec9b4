//! Anti-entropy: exchange of digests, which delivers every item that a node missed, each once.
//!
//! A node sends a digest: the version of every origin, by bucket. The receiver answers with a delta that
//! holds the items that the sender lacks, and requests for items that it lacks itself; the sender then
//! answers the requests. Where the rosters of a bucket differ, versions have no common order: its rows are
//! exchanged first, and its items in a later round.

use crate::Now;
use crate::action::Action;
use crate::group::Group;
use crate::identity::{Id, Incarnation, id};
use crate::item::{self, Item, Version};
use crate::message::{
    self, Batch, Body, Bucket, Delta, KnownVersion, Publication, Request, Row, RowIndex, Summary,
};
use crate::peer::Peer;
use crate::roster::{BUCKETS, to_row};
use rand::RngExt;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Estimated size of an encoded batch without its items.
const BATCH_OVERHEAD_BYTES: usize = 8;
/// Estimated size of an encoded small item.
const SMALL_ITEM_BYTES: usize = 7;

/// Returns the estimated size of an encoded observation.
fn estimated_bytes(body: &item::Observation) -> usize {
    match body {
        item::Observation::Endpoint { name, .. }
        | item::Observation::Releasing { name, .. }
        | item::Observation::Ended { name, .. } => SMALL_ITEM_BYTES + 8 + name.len(),
        item::Observation::Isolated { service, .. } => SMALL_ITEM_BYTES + 8 + service.len(),
        item::Observation::Suspect { .. }
        | item::Observation::Pending { .. }
        | item::Observation::Condemned { .. }
        | item::Observation::Cleared { .. } => SMALL_ITEM_BYTES + 8,
        _ => SMALL_ITEM_BYTES,
    }
}

impl Group {
    /// Returns the digest of this node: the known versions of all buckets.
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

    /// Starts an exchange with a peer.
    pub(crate) fn send_digest(&mut self, partner: Id, out: &mut Vec<Action>) {
        let Some(to) = self.addr(partner) else { return };
        let digest = self.summaries();
        self.send(partner, to, Body::Digest(digest), out);
    }

    /// Answers a digest with a delta. Starts at a random bucket, so that a delta that reaches its bounds does
    /// not omit the same buckets every time.
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
        let mut capacity = self.settings.max_delta_bytes;
        let mut delta = Delta::default();
        for step in 0..BUCKETS {
            let index = (first + step) % BUCKETS;
            self.answer_bucket(
                now,
                index as Bucket,
                &theirs[index],
                &mut capacity,
                &mut delta,
            );
        }
        self.counters.differing += u64::from(!delta.complete.is_empty());
        if delta != Delta::default() {
            self.send(peer, to, Body::Delta(delta), out);
        }
    }

    /// Adds the answer for one bucket to the delta.
    fn answer_bucket(
        &self,
        now: Now,
        bucket: Bucket,
        theirs: &Summary,
        capacity: &mut usize,
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
        let is_behind = |i: usize, p: &Peer| p.version < theirs.versions[i];
        let known_version = |i: usize, p: &Peer| KnownVersion {
            row: i as RowIndex,
            version: p.version,
        };
        let lagging = rows.iter().enumerate().filter(|(i, p)| is_behind(*i, p));
        let lagging: Vec<KnownVersion> = lagging.map(|(i, p)| known_version(i, p)).collect();
        if !lagging.is_empty() {
            delta.requests.push(Request {
                bucket,
                hash,
                known: lagging,
            });
        }
        let known = theirs.versions.iter().enumerate();
        let known = known.map(|(i, v)| KnownVersion {
            row: i as RowIndex,
            version: *v,
        });
        self.fill(now, bucket, known, capacity, delta);
    }

    /// Adds the items of one bucket that are newer than the `known` versions, as far as `capacity` bytes
    /// allow.
    fn fill(
        &self,
        now: Now,
        bucket: Bucket,
        known: impl Iterator<Item = KnownVersion>,
        capacity: &mut usize,
        delta: &mut Delta,
    ) {
        let rows = self.roster.bucket(bucket);
        let mut batches = Vec::new();
        for known in known {
            let Some(peer) = rows.get(usize::from(known.row)) else {
                continue;
            };
            if peer.version > known.version && *capacity > BATCH_OVERHEAD_BYTES {
                batches.extend(self.batch(now, peer, known, capacity));
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

    /// Collects complete publications of one origin in order. Items above the version of its row, which arrived
    /// as urgent items, are left out: the receiver would take the missing versions in between for known.
    fn batch(
        &self,
        now: Now,
        peer: &Peer,
        known: KnownVersion,
        capacity: &mut usize,
    ) -> Option<Batch> {
        let mut publications: BTreeMap<Version, Vec<item::Observation>> = BTreeMap::new();
        for (_, slot) in self.store.items(peer.id) {
            if slot.version > known.version && slot.version <= peer.version {
                publications
                    .entry(slot.version)
                    .or_default()
                    .push(slot.with_remaining_ttl(now));
            }
        }
        let mut batch = Batch {
            row: known.row,
            up_to: peer.version,
            publications: Vec::new(),
        };
        let mut up_to = known.version;
        *capacity = capacity.saturating_sub(BATCH_OVERHEAD_BYTES);
        for (version, observations) in publications {
            let size: usize = 2 + observations.iter().map(estimated_bytes).sum::<usize>();
            if size > *capacity {
                batch.up_to = up_to;
                break;
            }
            *capacity -= size;
            up_to = version;
            batch.publications.push(Publication {
                version,
                observations,
            });
        }
        (batch.up_to > known.version).then_some(batch)
    }

    /// Stores the items and rows of a delta, and answers its requests.
    pub(crate) fn handle_delta(
        &mut self,
        now: Now,
        peer: Id,
        to: SocketAddr,
        delta: Delta,
        out: &mut Vec<Action>,
    ) {
        let Delta {
            items,
            rows,
            complete,
            requests,
        } = delta;
        items
            .into_iter()
            .for_each(|bucket| self.apply_bucket(now, bucket, out));
        self.apply_rows(now, peer, to, rows, &complete, out);
        let mut answer = Delta::default();
        let mut capacity = self.settings.max_delta_bytes;
        for request in requests {
            if self.roster.hash(request.bucket) == Some(request.hash) {
                self.fill(
                    now,
                    request.bucket,
                    request.known.into_iter(),
                    &mut capacity,
                    &mut answer,
                );
            }
        }
        if !answer.items.is_empty() {
            self.send(peer, to, Body::Delta(answer), out);
        }
    }

    fn apply_bucket(&mut self, now: Now, items: message::BucketItems, out: &mut Vec<Action>) {
        for batch in items.batches {
            // A row that was inserted or removed since the digest was sent shifts the indexes of the others.
            if self.roster.hash(items.bucket) != Some(items.hash) {
                return;
            }
            let index = usize::from(batch.row);
            let Some(row) = self.roster.bucket(items.bucket).get(index) else {
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
        incarnation: Incarnation,
        batch: Batch,
        out: &mut Vec<Action>,
    ) {
        for publication in batch.publications {
            for body in publication.observations {
                let version = publication.version;
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

    /// Merges the rows of a delta and answers with the rows that the peer lacks in its `complete` buckets.
    fn apply_rows(
        &mut self,
        now: Now,
        peer: Id,
        to: SocketAddr,
        rows: Vec<Row>,
        complete: &[Bucket],
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
        let missing = complete
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
