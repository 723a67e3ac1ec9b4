//! Invariants of a group, verified independently of the code that maintains them.

use crate::group::Group;
use crate::identity::Id;
use crate::message::Bucket;
use crate::peer::State;
use crate::probe::Cause;
use crate::ring::RING_NEIGHBOURS;
use crate::roster::{self, BUCKETS};
use std::collections::BTreeSet;
use std::fmt;

/// A broken invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// Table and row.
    pub location: String,
    /// Kind of the broken invariant.
    pub fault: Fault,
}

/// Kinds of broken invariants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// This node is not in its own roster, or is not up there.
    LocalNodeNotUp,
    /// A row is in the wrong bucket or out of order.
    RowOrder,
    /// The hash of a bucket does not match its rows.
    BucketHash,
    /// A removed run is in the roster.
    RemovedRun,
    /// The store holds items of an origin that is not in the roster.
    UnknownOrigin,
    /// An own item is newer than this node's version.
    VersionAhead,
    /// An item that is not urgent is newer than the version of its origin, though only exchanges in order of
    /// versions bring such items.
    NotUrgent,
    /// A peer was judged before its time to refute was over.
    JudgedEarly,
    /// Two updates about one node are queued.
    DuplicateUpdate,
    /// A table exceeds its bound.
    BoundExceeded,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {:?}", self.location, self.fault)
    }
}

impl Group {
    /// Returns every broken invariant.
    pub fn verify(&self) -> Vec<Error> {
        let mut errors = Vec::new();
        self.verify_roster(&mut errors);
        self.verify_states(&mut errors);
        self.verify_items(&mut errors);
        self.verify_bounds(&mut errors);
        errors
    }

    /// Panics if an invariant is broken.
    #[cfg(debug_assertions)]
    pub(crate) fn assert(&self) {
        let errors = self.verify();
        assert!(errors.is_empty(), "invariants broken: {errors:?}");
    }

    fn verify_roster(&self, errors: &mut Vec<Error>) {
        for index in 0..BUCKETS {
            let rows = self.roster.bucket(index as Bucket);
            let ordered = rows.windows(2).all(|w| w[0].id < w[1].id);
            let placed = rows.iter().all(|p| roster::bucket(p.id) == index);
            if !ordered || !placed {
                errors.push(error("bucket", index, Fault::RowOrder));
            }
            if self.roster.hash(index as Bucket) != Some(self.roster.computed_hash(index)) {
                errors.push(error("bucket", index, Fault::BucketHash));
            }
        }
        if self
            .roster
            .get(self.me)
            .is_none_or(|p| p.state != State::Up)
        {
            errors.push(error("peer", self.me, Fault::LocalNodeNotUp));
        }
    }

    fn verify_states(&self, errors: &mut Vec<Error>) {
        for peer in self.roster.iter() {
            let tombstone = self.tombstones.get(&peer.id);
            if tombstone.is_some_and(|t| t.incarnation >= peer.identity.incarnation) {
                errors.push(error("peer", peer.id, Fault::RemovedRun));
            }
            let waited = peer.state_since.saturating_sub(peer.lost_at);
            if peer.state > State::Suspect && waited < self.settings.suspicion_timeout {
                errors.push(error("peer", peer.id, Fault::JudgedEarly));
            }
        }
    }

    fn verify_items(&self, errors: &mut Vec<Error>) {
        for origin in self.store.origins() {
            let Some(peer) = self.roster.get(origin) else {
                errors.push(error("store", origin, Fault::UnknownOrigin));
                continue;
            };
            for (_, slot) in self.store.items(origin) {
                let ahead = slot.version > peer.version;
                if ahead && origin == self.me {
                    errors.push(error("store", origin, Fault::VersionAhead));
                } else if ahead && !slot.body.urgent() {
                    errors.push(error("store", origin, Fault::NotUrgent));
                }
            }
        }
    }

    fn verify_bounds(&self, errors: &mut Vec<Error>) {
        let subjects: BTreeSet<Id> = self.updates.iter().map(|p| p.subject).collect();
        if subjects.len() != self.updates.len() {
            errors.push(error("updates", self.updates.len(), Fault::DuplicateUpdate));
        }
        if self.roster.len() > self.settings.max_peers {
            errors.push(error("roster", self.roster.len(), Fault::BoundExceeded));
        }
        let round = self.settings.probe_interval / 2;
        let rounds = self.settings.probe_timeout.div_duration_f64(round).ceil() as usize;
        for (cause, each) in [(Cause::Schedule, 1), (Cause::Ring, RING_NEIGHBOURS)] {
            let open = self.probes.open.iter();
            let probes = open.filter(|p| p.cause == cause).count();
            if probes > (rounds * 2 + 1) * each {
                errors.push(error("probes", probes, Fault::BoundExceeded));
            }
        }
    }
}

fn error(table: &str, row: impl fmt::Display, fault: Fault) -> Error {
    Error {
        location: format!("{table} {row}"),
        fault,
    }
}
