//! Frames as the codec reads and writes them.
//!
//! Ids, hashes and runs are bytes, since as variable-length numbers they would be longer.

mod from;
mod into;

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

type Id = [u8; 8];
type Hash = [u8; 4];
type Digest = [u8; 32];

/// A frame.
#[derive(Serialize, Deserialize)]
pub(crate) struct Frame {
    kind: Kind,
    body: Body,
}

#[derive(Serialize, Deserialize)]
enum Kind {
    Send,
    Ask(u64),
    Answer(u64),
}

#[derive(Serialize, Deserialize)]
enum Body {
    Member(Message),
    HeadAsk {
        number: u64,
        have: u64,
    },
    HeadGive(Option<Vec<u8>>),
    CopyAsk {
        table: u8,
        from: u64,
    },
    CopyGive(Option<Vec<u8>>),
    StatusAsk,
    StatusGive {
        number: u64,
        digest: Digest,
        incarnation: u64,
        leaving: bool,
    },
}

#[derive(Serialize, Deserialize)]
struct Message {
    from: Id,
    incarnation: Id,
    head: Option<(u64, Digest)>,
    news: Vec<News>,
    body: Matter,
}

#[derive(Serialize, Deserialize)]
enum Matter {
    Ping { seq: u32, to: Id },
    Ack { seq: u32, of: Id },
    Relay { seq: u32, to: Id, addr: SocketAddr },
    Who,
    Rows(Vec<Row>),
    Note,
    Rumour(Vec<Item>),
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
    turn: u32,
}

#[derive(Serialize, Deserialize)]
enum News {
    Join(Row),
    Suspect(Run),
    Alive(Run),
    Left(Run),
}

#[derive(Serialize, Deserialize)]
struct Run {
    id: Id,
    incarnation: Id,
    turn: u32,
}

#[derive(Serialize, Deserialize)]
struct Summary {
    hash: Hash,
    versions: Vec<u32>,
}

#[derive(Serialize, Deserialize)]
struct Delta {
    groups: Vec<Group>,
    rows: Vec<Row>,
    whole: Vec<u8>,
    wants: Vec<Want>,
}

#[derive(Serialize, Deserialize)]
struct Group {
    bucket: u8,
    hash: Hash,
    batches: Vec<Batch>,
}

#[derive(Serialize, Deserialize)]
struct Batch {
    place: u8,
    upto: u32,
    prints: Vec<Print>,
}

#[derive(Serialize, Deserialize)]
struct Print {
    version: u32,
    items: Vec<Observation>,
}

#[derive(Serialize, Deserialize)]
struct Want {
    bucket: u8,
    hash: Hash,
    gaps: Vec<Gap>,
}

#[derive(Serialize, Deserialize)]
struct Gap {
    place: u8,
    version: u32,
}

#[derive(Serialize, Deserialize)]
struct Item {
    origin: Id,
    incarnation: Id,
    version: u32,
    body: Observation,
}

/// Times to live are in seconds, rounded up.
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
    Moving {
        name: String,
        ttl: u32,
    },
}
