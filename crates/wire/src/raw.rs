//! Encoded form of frames.
//!
//! The order of fields and variants is the format, since `bincode` writes no names; the `rename`
//! attributes keep the names of the format. Ids, hashes and incarnations are arrays of bytes: their
//! values are large, and as variable-length integers they would be longer.
//!
//! Types that have the name of a type in `member::message` or `member::item` are its encoded form.

mod decode;
mod encode;

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

type Id = [u8; 8];
type Hash = [u8; 4];
type Digest = [u8; 32];

/// Encoded form of [`crate::frame::Frame`].
#[derive(Serialize, Deserialize)]
pub(crate) struct Frame {
    kind: Kind,
    body: Body,
}

#[derive(Serialize, Deserialize)]
enum Kind {
    #[serde(rename = "Send")]
    OneWay,
    #[serde(rename = "Ask")]
    Request(u64),
    #[serde(rename = "Answer")]
    Response(u64),
}

#[derive(Serialize, Deserialize)]
enum Body {
    Member(Message),
    #[serde(rename = "HeadAsk")]
    HeadRequest {
        number: u64,
        have: u64,
    },
    #[serde(rename = "HeadGive")]
    HeadResponse(Option<Vec<u8>>),
    #[serde(rename = "CopyAsk")]
    CopyRequest {
        table: u8,
        from: u64,
    },
    #[serde(rename = "CopyGive")]
    CopyResponse(Option<Vec<u8>>),
    #[serde(rename = "StatusAsk")]
    StatusRequest,
    #[serde(rename = "StatusGive")]
    StatusResponse {
        number: u64,
        digest: Digest,
        incarnation: u64,
        leaving: bool,
    },
}

/// A message of the membership protocol; `head` is a version's number and digest.
#[derive(Serialize, Deserialize)]
struct Message {
    from: Id,
    incarnation: Id,
    head: Option<(u64, Digest)>,
    #[serde(rename = "news")]
    updates: Vec<Update>,
    body: MemberBody,
}

/// Body of a membership message.
#[derive(Serialize, Deserialize)]
enum MemberBody {
    Ping {
        seq: u32,
        to: Id,
    },
    Ack {
        seq: u32,
        of: Id,
    },
    #[serde(rename = "Relay")]
    IndirectPing {
        seq: u32,
        to: Id,
        addr: SocketAddr,
    },
    #[serde(rename = "Who")]
    Identify,
    Rows(Vec<Row>),
    #[serde(rename = "Note")]
    Empty,
    #[serde(rename = "Rumour")]
    Items(Vec<Item>),
    Digest(Vec<Summary>),
    Delta(Delta),
}

#[derive(Serialize, Deserialize)]
struct Row {
    name: String,
    addr: SocketAddr,
    zone: String,
    region: String,
    incarnation: Id,
    #[serde(rename = "turn")]
    refutations: u32,
}

#[derive(Serialize, Deserialize)]
enum Update {
    Join(Row),
    Suspect(Run),
    Alive(Run),
    Left(Run),
}

#[derive(Serialize, Deserialize)]
struct Run {
    id: Id,
    incarnation: Id,
    #[serde(rename = "turn")]
    refutations: u32,
}

#[derive(Serialize, Deserialize)]
struct Summary {
    hash: Hash,
    versions: Vec<u32>,
}

#[derive(Serialize, Deserialize)]
struct Delta {
    groups: Vec<BucketItems>,
    rows: Vec<Row>,
    #[serde(rename = "whole")]
    complete: Vec<u8>,
    #[serde(rename = "wants")]
    requests: Vec<Request>,
}

#[derive(Serialize, Deserialize)]
struct BucketItems {
    bucket: u8,
    hash: Hash,
    batches: Vec<Batch>,
}

#[derive(Serialize, Deserialize)]
struct Batch {
    #[serde(rename = "place")]
    row: u8,
    #[serde(rename = "upto")]
    up_to: u32,
    #[serde(rename = "prints")]
    publications: Vec<Publication>,
}

#[derive(Serialize, Deserialize)]
struct Publication {
    version: u32,
    items: Vec<Observation>,
}

#[derive(Serialize, Deserialize)]
struct Request {
    bucket: u8,
    hash: Hash,
    #[serde(rename = "gaps")]
    known: Vec<KnownVersion>,
}

#[derive(Serialize, Deserialize)]
struct KnownVersion {
    #[serde(rename = "place")]
    row: u8,
    version: u32,
}

#[derive(Serialize, Deserialize)]
struct Item {
    origin: Id,
    incarnation: Id,
    version: u32,
    body: Observation,
}

/// Encoded form of `member::item::Observation`; a `ttl` is in seconds, rounded up.
#[derive(Serialize, Deserialize)]
enum Observation {
    Demand {
        team: Hash,
        rate: u8,
        in_flight: u8,
    },
    Load(u8),
    Leaving,
    Endpoint {
        name: String,
        ejected: bool,
        ttl: u32,
    },
    Suspect {
        fingerprint: Id,
        ttl: u32,
    },
    Condemned {
        fingerprint: Id,
        ttl: u32,
    },
    Callers {
        addr: SocketAddr,
        tls: bool,
    },
    Pending {
        fingerprint: Id,
        ttl: u32,
    },
    #[serde(rename = "Moving")]
    Releasing {
        name: String,
        ttl: u32,
    },
    Cleared {
        fingerprint: Id,
        ttl: u32,
    },
    Isolated {
        service: String,
        isolated: bool,
        ttl: u32,
    },
    Ended {
        name: String,
        ended: bool,
        ttl: u32,
    },
}
