//! Messages between groups. Their form on the wire is the `wire` crate's.

use crate::head::Head;
use crate::identity::{Id, Identity, Incarnation};
use crate::item::{self, Item, Version};
use crate::peer::Refutations;
use std::net::SocketAddr;

/// Number of a probe of one node.
pub type Seq = u32;
/// Index of a bucket of the roster.
pub type Bucket = u8;
/// Index of a row in its bucket.
pub type RowIndex = u8;

/// A message.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// The sender.
    pub from: Id,
    /// Its run.
    pub incarnation: Incarnation,
    /// What it has in force.
    pub head: Option<Head>,
    /// What changed in the group of late. A [`Update::Suspect`] of a run whose row is in the body is what
    /// the sender thinks of it, and no news.
    pub updates: Vec<Update>,
    /// The matter itself.
    pub body: Body,
}

/// The matter of a message.
#[derive(Clone, Debug, PartialEq)]
pub enum Body {
    /// Answer with an [`Body::Ack`] of the same number if you are `to`.
    Ping {
        /// Number of the probe.
        seq: Seq,
        /// Whom the sender means.
        to: Id,
    },
    /// `of` answered the probe.
    Ack {
        /// Number of the probe.
        seq: Seq,
        /// Who answered.
        of: Id,
    },
    /// Probe `to` for me.
    IndirectPing {
        /// Number of the sender's probe.
        seq: Seq,
        /// Whom to probe.
        to: Id,
        /// Where it listens.
        addr: SocketAddr,
    },
    /// Who are you? The asked one answers with [`Body::Rows`] of itself.
    Identify,
    /// Rows of the roster.
    Rows(Vec<Row>),
    /// Only the head and the news matter.
    Empty,
    /// Urgent items.
    Items(Vec<Item>),
    /// What the sender knows, by bucket; answered by [`Body::Delta`].
    Digest(Vec<Summary>),
    /// What the other side of an exchange lacks.
    Delta(Delta),
}

impl Body {
    /// Rows of the roster in it.
    pub fn rows(&self) -> &[Row] {
        match self {
            Self::Rows(rows) => rows,
            Self::Delta(delta) => &delta.rows,
            _ => &[],
        }
    }
}

/// A row of the roster.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Name, place and run.
    pub identity: Identity,
    /// Its last refutation.
    pub refutations: Refutations,
}

/// A change in the group.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// A node is there.
    Join(Row),
    /// A node did not answer.
    Suspect(Run),
    /// A node refuted a suspicion.
    Alive(Run),
    /// A node left.
    Left(Run),
}

/// One run of a node, up to a refutation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Run {
    /// The node.
    pub id: Id,
    /// The run.
    pub incarnation: Incarnation,
    /// The last refutation known to the sender.
    pub refutations: Refutations,
}

/// What a node knows of one bucket.
#[derive(Clone, Debug, PartialEq)]
pub struct Summary {
    /// Hash over the ids and runs of the bucket's rows.
    pub hash: u32,
    /// By row: the version up to which all is known.
    pub versions: Vec<Version>,
}

/// The answer to a digest.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Delta {
    /// Items that the other side lacks.
    pub items: Vec<BucketItems>,
    /// Rows of buckets that differ.
    pub rows: Vec<Row>,
    /// Buckets whose rows are all in `rows`: answer with those missing there.
    pub complete: Vec<Bucket>,
    /// What the sender lacks.
    pub requests: Vec<Request>,
}

/// Items of one bucket.
#[derive(Clone, Debug, PartialEq)]
pub struct BucketItems {
    /// The bucket.
    pub bucket: Bucket,
    /// Its hash; places are void under another one.
    pub hash: u32,
    /// Items by origin.
    pub batches: Vec<Batch>,
}

/// Items of one origin: all that changed after the version that the other side knew.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// Place of the origin in its bucket.
    pub row: RowIndex,
    /// The version up to which this is complete.
    pub up_to: Version,
    /// Items by publication, ascending.
    pub publications: Vec<Publication>,
}

/// Items of one publication that are still current.
#[derive(Clone, Debug, PartialEq)]
pub struct Publication {
    /// Its version.
    pub version: Version,
    /// The observations.
    pub observations: Vec<item::Observation>,
}

/// What the sender lacks of one bucket.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// The bucket.
    pub bucket: Bucket,
    /// Its hash.
    pub hash: u32,
    /// Rows where it is behind.
    pub known: Vec<KnownVersion>,
}

/// A row where the sender is behind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownVersion {
    /// Place of the origin in its bucket.
    pub row: RowIndex,
    /// The version up to which the sender knows all.
    pub version: Version,
}
