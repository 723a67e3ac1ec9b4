//! Conversions from the checked types to their encoded form.

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
            frame::Kind::OneWay => Self::OneWay,
            frame::Kind::Request(call) => Self::Request(call),
            frame::Kind::Response(call) => Self::Response(call),
        }
    }
}

impl From<&frame::Body> for Body {
    fn from(body: &frame::Body) -> Self {
        match body {
            frame::Body::Member(message) => Self::Member(message.into()),
            frame::Body::HeadRequest(request) => Self::HeadRequest {
                number: request.number,
                have: request.have,
            },
            frame::Body::HeadResponse(bytes) => Self::HeadResponse(bytes.clone()),
            frame::Body::CopyRequest(request) => Self::CopyRequest {
                table: request.table,
                from: request.from,
            },
            frame::Body::CopyResponse(bytes) => Self::CopyResponse(bytes.clone()),
            frame::Body::StatusRequest => Self::StatusRequest,
            frame::Body::StatusResponse(status) => Self::StatusResponse {
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
            updates: message.updates.iter().map(Update::from).collect(),
            body: (&message.body).into(),
        }
    }
}

impl From<&message::Body> for MemberBody {
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
            message::Body::IndirectPing { seq, to, addr } => Self::IndirectPing {
                seq: *seq,
                to: to.to_le_bytes(),
                addr: *addr,
            },
            message::Body::Identify => Self::Identify,
            message::Body::Rows(rows) => Self::Rows(rows.iter().map(Row::from).collect()),
            message::Body::Empty => Self::Empty,
            message::Body::Items(items) => Self::Items(items.iter().map(Item::from).collect()),
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
            refutations: row.refutations,
        }
    }
}

impl From<&message::Update> for Update {
    fn from(update: &message::Update) -> Self {
        match update {
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
            refutations: run.refutations,
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
            groups: delta.items.iter().map(BucketItems::from).collect(),
            rows: delta.rows.iter().map(Row::from).collect(),
            complete: delta.complete.clone(),
            requests: delta.requests.iter().map(Request::from).collect(),
        }
    }
}

impl From<&message::BucketItems> for BucketItems {
    fn from(bucket: &message::BucketItems) -> Self {
        Self {
            bucket: bucket.bucket,
            hash: bucket.hash.to_le_bytes(),
            batches: bucket.batches.iter().map(Batch::from).collect(),
        }
    }
}

impl From<&message::Batch> for Batch {
    fn from(batch: &message::Batch) -> Self {
        let publications = batch.publications.iter().map(Publication::from).collect();
        Self {
            row: batch.row,
            up_to: batch.up_to,
            publications,
        }
    }
}

impl From<&message::Publication> for Publication {
    fn from(publication: &message::Publication) -> Self {
        let items = publication
            .observations
            .iter()
            .map(Observation::from)
            .collect();
        Self {
            version: publication.version,
            items,
        }
    }
}

impl From<&message::Request> for Request {
    fn from(request: &message::Request) -> Self {
        let known_version = |known: &message::KnownVersion| KnownVersion {
            row: known.row,
            version: known.version,
        };
        let known = request.known.iter().map(known_version).collect();
        Self {
            bucket: request.bucket,
            hash: request.hash.to_le_bytes(),
            known,
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
                ttl: ceil_seconds(*ttl),
            },
            item::Observation::Releasing { name, ttl } => Self::Releasing {
                name: name.clone(),
                ttl: ceil_seconds(*ttl),
            },
            item::Observation::Suspect { fingerprint, ttl } => Self::Suspect {
                fingerprint: fingerprint.to_le_bytes(),
                ttl: ceil_seconds(*ttl),
            },
            item::Observation::Pending { fingerprint, ttl } => Self::Pending {
                fingerprint: fingerprint.to_le_bytes(),
                ttl: ceil_seconds(*ttl),
            },
            item::Observation::Condemned { fingerprint, ttl } => Self::Condemned {
                fingerprint: fingerprint.to_le_bytes(),
                ttl: ceil_seconds(*ttl),
            },
            item::Observation::Cleared { fingerprint, ttl } => Self::Cleared {
                fingerprint: fingerprint.to_le_bytes(),
                ttl: ceil_seconds(*ttl),
            },
            item::Observation::Isolated {
                service,
                isolated,
                ttl,
            } => Self::Isolated {
                service: service.clone(),
                isolated: *isolated,
                ttl: ceil_seconds(*ttl),
            },
            item::Observation::Ended { name, ended, ttl } => Self::Ended {
                name: name.clone(),
                ended: *ended,
                ttl: ceil_seconds(*ttl),
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

/// Rounds a time to live up to full seconds; times over the range become its greatest value.
fn ceil_seconds(ttl: Duration) -> u32 {
    ttl.as_millis()
        .div_ceil(1000)
        .try_into()
        .unwrap_or(u32::MAX)
}
