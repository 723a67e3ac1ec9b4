//! From checked types to raw ones.

use super::*;
use crate::frame;
use member::{identity, item, message};
use std::time::Duration;

impl From<&frame::Frame> for Frame {
    fn from(frame: &frame::Frame) -> Self {
        Self {
            kind: frame.kind.into(),
            body: (&frame.body).into(),
        }
    }
}

impl From<frame::Kind> for Kind {
    fn from(kind: frame::Kind) -> Self {
        match kind {
            frame::Kind::OneWay => Self::Send,
            frame::Kind::Request(call) => Self::Ask(call),
            frame::Kind::Response(call) => Self::Answer(call),
        }
    }
}

impl From<&frame::Body> for Body {
    fn from(body: &frame::Body) -> Self {
        match body {
            frame::Body::Member(message) => Self::Member(message.into()),
            frame::Body::HeadRequest(ask) => Self::HeadAsk {
                number: ask.number,
                have: ask.have,
            },
            frame::Body::HeadResponse(bytes) => Self::HeadGive(bytes.clone()),
            frame::Body::CopyRequest(ask) => Self::CopyAsk {
                table: ask.table,
                from: ask.from,
            },
            frame::Body::CopyResponse(bytes) => Self::CopyGive(bytes.clone()),
            frame::Body::StatusRequest => Self::StatusAsk,
            frame::Body::StatusResponse(status) => Self::StatusGive {
                number: status.number,
                digest: status.digest,
                incarnation: status.incarnation,
                leaving: status.leaving,
            },
        }
    }
}

impl From<&message::Message> for Message {
    fn from(message: &message::Message) -> Self {
        Self {
            from: message.from.to_le_bytes(),
            incarnation: message.incarnation.to_le_bytes(),
            head: message.head.map(|h| (h.number, h.digest)),
            news: message.updates.iter().map(News::from).collect(),
            body: (&message.body).into(),
        }
    }
}

impl From<&message::Body> for Matter {
    fn from(body: &message::Body) -> Self {
        match body {
            message::Body::Ping { seq, to } => Self::Ping {
                seq: *seq,
                to: to.to_le_bytes(),
            },
            message::Body::Ack { seq, of } => Self::Ack {
                seq: *seq,
                of: of.to_le_bytes(),
            },
            message::Body::IndirectPing { seq, to, addr } => Self::Relay {
                seq: *seq,
                to: to.to_le_bytes(),
                addr: *addr,
            },
            message::Body::Identify => Self::Who,
            message::Body::Rows(rows) => Self::Rows(rows.iter().map(Row::from).collect()),
            message::Body::Empty => Self::Note,
            message::Body::Items(items) => Self::Rumour(items.iter().map(Item::from).collect()),
            message::Body::Digest(all) => Self::Digest(all.iter().map(Summary::from).collect()),
            message::Body::Delta(delta) => Self::Delta(delta.into()),
        }
    }
}

impl From<&message::Row> for Row {
    fn from(row: &message::Row) -> Self {
        let identity::Identity {
            name,
            addr,
            zone,
            region,
            incarnation,
        } = row.identity.clone();
        let incarnation = incarnation.to_le_bytes();
        Self {
            name,
            addr,
            zone,
            region,
            incarnation,
            turn: row.refutations,
        }
    }
}

impl From<&message::Update> for News {
    fn from(news: &message::Update) -> Self {
        match news {
            message::Update::Join(row) => Self::Join(row.into()),
            message::Update::Suspect(run) => Self::Suspect(run.into()),
            message::Update::Alive(run) => Self::Alive(run.into()),
            message::Update::Left(run) => Self::Left(run.into()),
        }
    }
}

impl From<&message::Run> for Run {
    fn from(run: &message::Run) -> Self {
        let (id, incarnation) = (run.id.to_le_bytes(), run.incarnation.to_le_bytes());
        Self {
            id,
            incarnation,
            turn: run.refutations,
        }
    }
}

impl From<&message::Summary> for Summary {
    fn from(summary: &message::Summary) -> Self {
        Self {
            hash: summary.hash.to_le_bytes(),
            versions: summary.versions.clone(),
        }
    }
}

impl From<&message::Delta> for Delta {
    fn from(delta: &message::Delta) -> Self {
        Self {
            groups: delta.items.iter().map(Group::from).collect(),
            rows: delta.rows.iter().map(Row::from).collect(),
            whole: delta.complete.clone(),
            wants: delta.requests.iter().map(Want::from).collect(),
        }
    }
}

impl From<&message::BucketItems> for Group {
    fn from(group: &message::BucketItems) -> Self {
        Self {
            bucket: group.bucket,
            hash: group.hash.to_le_bytes(),
            batches: group.batches.iter().map(Batch::from).collect(),
        }
    }
}

impl From<&message::Batch> for Batch {
    fn from(batch: &message::Batch) -> Self {
        let prints = batch.publications.iter().map(Print::from).collect();
        Self {
            place: batch.row,
            upto: batch.up_to,
            prints,
        }
    }
}

impl From<&message::Publication> for Print {
    fn from(print: &message::Publication) -> Self {
        let items = print.observations.iter().map(Observation::from).collect();
        Self {
            version: print.version,
            items,
        }
    }
}

impl From<&message::Request> for Want {
    fn from(want: &message::Request) -> Self {
        let gap = |g: &message::KnownVersion| Gap {
            place: g.row,
            version: g.version,
        };
        let gaps = want.known.iter().map(gap).collect();
        Self {
            bucket: want.bucket,
            hash: want.hash.to_le_bytes(),
            gaps,
        }
    }
}

impl From<&item::Item> for Item {
    fn from(item: &item::Item) -> Self {
        Self {
            origin: item.origin.to_le_bytes(),
            incarnation: item.incarnation.to_le_bytes(),
            version: item.version,
            body: (&item.body).into(),
        }
    }
}

impl From<&item::Observation> for Observation {
    fn from(body: &item::Observation) -> Self {
        match body {
            item::Observation::Leaving => Self::Leaving,
            item::Observation::Load(level) => Self::Load(level.0),
            item::Observation::Callers { addr, tls } => Self::Callers {
                addr: *addr,
                tls: *tls,
            },
            item::Observation::Endpoint { name, ejected, ttl } => Self::Endpoint {
                name: name.clone(),
                ejected: *ejected,
                ttl: seconds(*ttl),
            },
            item::Observation::Releasing { name, ttl } => Self::Moving {
                name: name.clone(),
                ttl: seconds(*ttl),
            },
            item::Observation::Suspect { fingerprint, ttl } => Self::Suspect {
                fingerprint: fingerprint.to_le_bytes(),
                ttl: seconds(*ttl),
            },
            item::Observation::Pending { fingerprint, ttl } => Self::Pending {
                fingerprint: fingerprint.to_le_bytes(),
                ttl: seconds(*ttl),
            },
            item::Observation::Condemned { fingerprint, ttl } => Self::Condemned {
                fingerprint: fingerprint.to_le_bytes(),
                ttl: seconds(*ttl),
            },
            item::Observation::Demand {
                team,
                rate,
                in_flight,
            } => Self::Demand {
                team: team.to_le_bytes(),
                rate: rate.0,
                in_flight: in_flight.0,
            },
        }
    }
}

fn seconds(ttl: Duration) -> u32 {
    ttl.as_millis()
        .div_ceil(1000)
        .try_into()
        .unwrap_or(u32::MAX)
}
