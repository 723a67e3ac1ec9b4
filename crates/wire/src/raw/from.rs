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
            frame::Kind::Send => Self::Send,
            frame::Kind::Ask(call) => Self::Ask(call),
            frame::Kind::Answer(call) => Self::Answer(call),
        }
    }
}

impl From<&frame::Body> for Body {
    fn from(body: &frame::Body) -> Self {
        match body {
            frame::Body::Member(message) => Self::Member(message.into()),
            frame::Body::HeadAsk(ask) => Self::HeadAsk {
                number: ask.number,
                have: ask.have,
            },
            frame::Body::HeadGive(bytes) => Self::HeadGive(bytes.clone()),
            frame::Body::CopyAsk(ask) => Self::CopyAsk {
                table: ask.table,
                from: ask.from,
            },
            frame::Body::CopyGive(bytes) => Self::CopyGive(bytes.clone()),
            frame::Body::StatusAsk => Self::StatusAsk,
            frame::Body::StatusGive(status) => Self::StatusGive {
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
            news: message.news.iter().map(News::from).collect(),
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
            message::Body::Relay { seq, to, addr } => Self::Relay {
                seq: *seq,
                to: to.to_le_bytes(),
                addr: *addr,
            },
            message::Body::Who => Self::Who,
            message::Body::Rows(rows) => Self::Rows(rows.iter().map(Row::from).collect()),
            message::Body::Note => Self::Note,
            message::Body::Rumour(items) => Self::Rumour(items.iter().map(Item::from).collect()),
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
            turn: row.turn,
        }
    }
}

impl From<&message::News> for News {
    fn from(news: &message::News) -> Self {
        match news {
            message::News::Join(row) => Self::Join(row.into()),
            message::News::Suspect(run) => Self::Suspect(run.into()),
            message::News::Alive(run) => Self::Alive(run.into()),
            message::News::Left(run) => Self::Left(run.into()),
        }
    }
}

impl From<&message::Run> for Run {
    fn from(run: &message::Run) -> Self {
        let (id, incarnation) = (run.id.to_le_bytes(), run.incarnation.to_le_bytes());
        Self {
            id,
            incarnation,
            turn: run.turn,
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
            groups: delta.groups.iter().map(Group::from).collect(),
            rows: delta.rows.iter().map(Row::from).collect(),
            whole: delta.whole.clone(),
            wants: delta.wants.iter().map(Want::from).collect(),
        }
    }
}

impl From<&message::Group> for Group {
    fn from(group: &message::Group) -> Self {
        Self {
            bucket: group.bucket,
            hash: group.hash.to_le_bytes(),
            batches: group.batches.iter().map(Batch::from).collect(),
        }
    }
}

impl From<&message::Batch> for Batch {
    fn from(batch: &message::Batch) -> Self {
        let prints = batch.prints.iter().map(Print::from).collect();
        Self {
            place: batch.place,
            upto: batch.upto,
            prints,
        }
    }
}

impl From<&message::Print> for Print {
    fn from(print: &message::Print) -> Self {
        let items = print.bodies.iter().map(Observation::from).collect();
        Self {
            version: print.version,
            items,
        }
    }
}

impl From<&message::Want> for Want {
    fn from(want: &message::Want) -> Self {
        let gap = |g: &message::Gap| Gap {
            place: g.place,
            version: g.version,
        };
        let gaps = want.gaps.iter().map(gap).collect();
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

impl From<&item::Body> for Observation {
    fn from(body: &item::Body) -> Self {
        match body {
            item::Body::Leaving => Self::Leaving,
            item::Body::Load(level) => Self::Load(level.0),
            item::Body::Callers { addr, tls } => Self::Callers {
                addr: *addr,
                tls: *tls,
            },
            item::Body::Endpoint { name, ejected, ttl } => Self::Endpoint {
                name: name.clone(),
                ejected: *ejected,
                ttl: seconds(*ttl),
            },
            item::Body::Moving { name, ttl } => Self::Moving {
                name: name.clone(),
                ttl: seconds(*ttl),
            },
            item::Body::Suspect { fingerprint, ttl } => Self::Suspect {
                fingerprint: fingerprint.to_le_bytes(),
                ttl: seconds(*ttl),
            },
            item::Body::Pending { fingerprint, ttl } => Self::Pending {
                fingerprint: fingerprint.to_le_bytes(),
                ttl: seconds(*ttl),
            },
            item::Body::Condemned { fingerprint, ttl } => Self::Condemned {
                fingerprint: fingerprint.to_le_bytes(),
                ttl: seconds(*ttl),
            },
            item::Body::Demand {
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
