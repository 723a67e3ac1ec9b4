//! Messages between nodes. The `wire` crate defines their encoding.

use crate::head::Head;
use crate::identity::{Id, Identity, Incarnation};
use crate::item::{self, Item, Version};
use crate::peer::Refutations;
use std::net::SocketAddr;

/// Sequence number of a probe, assigned by the node that sends it.
pub type Seq = u32;
/// Index of a bucket of the roster.
pub type Bucket = u8;
/// Index of a row in its bucket.
pub type RowIndex = u8;

/// A message between nodes, with piggybacked state of its sender.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// Id of the sender.
    pub from: Id,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Head of the bundle that the sender has in force.
    pub head: Option<Head>,
    /// Recent changes of membership, piggybacked on the message. An [`Update::Suspect`] of a run whose
    /// row is in the body states how the sender sees that run, and is not a recent change. Those beside a
    /// [`Body::Digest`] and its answer may be of any age.
    pub updates: Vec<Update>,
    /// Content of the message.
    pub body: Body,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq)]
pub enum Body {
    /// Direct probe: the receiver answers with a [`Body::Ack`] of the same number if it is `to`.
    Ping {
        /// Number of the probe.
        seq: Seq,
        /// Id of the node that the sender expects at the address.
        to: Id,
    },
    /// Answer to a probe: `of` is alive.
    Ack {
        /// Number of the probe.
        seq: Seq,
        /// Id of the probed node.
        of: Id,
    },
    /// Request for an indirect probe: the receiver probes `to` and forwards the answer.
    IndirectPing {
        /// Number of the sender's probe.
        seq: Seq,
        /// Id of the node to probe.
        to: Id,
        /// Address that the node to probe listens on.
        addr: SocketAddr,
    },
    /// Request for identification: the receiver answers with [`Body::Rows`] that holds its own row.
    Identify,
    /// Rows of the roster.
    Rows(Vec<Row>),
    /// No content: the message carries only the head and the updates.
    Empty,
    /// Urgent items, sent without waiting for the next exchange.
    Items(Vec<Item>),
    /// Versions known to the sender, by bucket; answered by [`Body::Delta`].
    Digest(Vec<Summary>),
    /// Items and rows that the other side of an exchange lacks.
    Delta(Delta),
}

impl Body {
    /// Returns the rows of the roster that the message carries.
    pub fn rows(&self) -> &[Row] {
        match self {
            Self::Rows(rows) => rows,
            Self::Delta(delta) => &delta.rows,
            _ => &[],
        }
    }
}

/// A row of the roster as sent in messages.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Name, address, location and run of the node.
    pub identity: Identity,
    /// Number of suspicions that the run has refuted.
    pub refutations: Refutations,
}

/// A change of membership.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// A node joined.
    Join(Row),
    /// A node did not answer a probe.
    Suspect(Run),
    /// A node refuted a suspicion.
    Alive(Run),
    /// A node left by announcement.
    Left(Run),
}

/// Identifies one run of a node at one of its refutations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Run {
    /// Id of the node.
    pub id: Id,
    /// Incarnation of the node.
    pub incarnation: Incarnation,
    /// Number of refutations of the run known to the sender.
    pub refutations: Refutations,
}

/// Versions of one bucket known to a node.
#[derive(Clone, Debug, PartialEq)]
pub struct Summary {
    /// Hash over the ids and incarnations of the bucket's rows.
    pub hash: u32,
    /// By row: the version up to which all publications are known.
    pub versions: Vec<Version>,
}

/// The answer to a digest.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Delta {
    /// Items that the other side lacks, by bucket.
    pub items: Vec<BucketItems>,
    /// Rows of the buckets whose hashes differ.
    pub rows: Vec<Row>,
    /// Buckets whose rows are all in `rows`: the receiver answers with the rows that are missing there.
    pub complete: Vec<Bucket>,
    /// Requests for items that the sender lacks.
    pub requests: Vec<Request>,
}

/// Items of one bucket.
#[derive(Clone, Debug, PartialEq)]
pub struct BucketItems {
    /// The bucket.
    pub bucket: Bucket,
    /// Hash of the bucket. Row indexes are valid only where the receiver has the same hash.
    pub hash: u32,
    /// Items by origin.
    pub batches: Vec<Batch>,
}

/// Items of one origin: all that changed after the version known to the other side.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// Row of the origin in its bucket.
    pub row: RowIndex,
    /// Version up to which the batch is complete.
    pub up_to: Version,
    /// Publications in ascending order of version.
    pub publications: Vec<Publication>,
}

/// The observations of one publication that no later one has replaced.
#[derive(Clone, Debug, PartialEq)]
pub struct Publication {
    /// Version of the publication.
    pub version: Version,
    /// The observations.
    pub observations: Vec<item::Observation>,
}

/// Request for the items of one bucket that the sender lacks.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// The bucket.
    pub bucket: Bucket,
    /// Hash of the bucket.
    pub hash: u32,
    /// Rows whose items the sender lacks.
    pub known: Vec<KnownVersion>,
}

/// The version of one row up to which a node knows all publications.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownVersion {
    /// Row of the origin in its bucket.
    pub row: RowIndex,
    /// Version up to which all publications are known.
    pub version: Version,
}
