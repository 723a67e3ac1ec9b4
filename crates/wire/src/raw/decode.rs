//! Conversions from the encoded form to the checked types, which check every length and index.

use super::*;
use crate::error::{Error, Result};
use crate::frame;
use member::head::Head;
use member::level::Level;
use member::roster::BUCKETS;
use member::store::MAX_TTL;
use member::{identity, item, message};
use std::time::Duration;

/// Longest name in bytes.
const MAX_NAME_BYTES: usize = 255;
/// Maximum number of membership updates in one message.
const MAX_UPDATES: usize = 64;
/// Maximum number of member rows in one message.
const MAX_ROWS: usize = 4_096;
/// Maximum number of items in one message, and of publications or observations in one list.
const MAX_ITEMS: usize = 1_024;
/// Maximum number of member rows in one bucket; an index of a row is a `u8`.
const MAX_BUCKET_ROWS: usize = 256;

/// Converts a list and refuses it as out of bounds under the name `field` if it has more than
/// `max_len` values.
fn convert_all<R, T: TryFrom<R, Error = Error>>(
    rows: Vec<R>,
    max_len: usize,
    field: &'static str,
) -> Result<Vec<T>> {
    if rows.len() > max_len {
        return Err(Error::InvalidField(field));
    }
    rows.into_iter().map(T::try_from).collect()
}

/// Refuses names that are empty, too long or contain control characters.
fn check_name(text: String, field: &'static str) -> Result<String> {
    let fits = !text.is_empty() && text.len() <= MAX_NAME_BYTES && !text.contains(char::is_control);
    fits.then_some(text).ok_or(Error::InvalidField(field))
}

/// Refuses a number of refutations that the next refutation can't exceed.
fn check_refutations(number: u32) -> Result<u32> {
    (number < u32::MAX)
        .then_some(number)
        .ok_or(Error::InvalidField("turn"))
}

/// Refuses the index of a bucket that doesn't exist.
fn check_bucket(index: u8) -> Result<u8> {
    let fits = usize::from(index) < BUCKETS;
    fits.then_some(index).ok_or(Error::InvalidField("bucket"))
}

/// Refuses a time to live, in seconds, that exceeds the maximum of the item store.
fn check_ttl(seconds: u32) -> Result<Duration> {
    let ttl = Duration::from_secs(seconds.into());
    (ttl <= MAX_TTL)
        .then_some(ttl)
        .ok_or(Error::InvalidField("ttl"))
}

impl TryFrom<Frame> for frame::Frame {
    type Error = Error;

    fn try_from(raw: Frame) -> Result<Self> {
        let kind = match raw.kind {
            Kind::OneWay => frame::Kind::OneWay,
            Kind::Request(call) => frame::Kind::Request(call),
            Kind::Response(call) => frame::Kind::Response(call),
        };
        let body = frame::Body::try_from(raw.body)?;
        match (kind, &body) {
            (frame::Kind::OneWay, frame::Body::Member(_)) => {}
            (frame::Kind::Request(_), body) if body.is_request() => {}
            (frame::Kind::Response(_), body) if body.is_response() => {}
            _ => return Err(Error::InvalidField("kind")),
        }
        Ok(Self { kind, body })
    }
}

impl TryFrom<Body> for frame::Body {
    type Error = Error;

    fn try_from(raw: Body) -> Result<Self> {
        Ok(match raw {
            Body::Member(message) => Self::Member(message.try_into()?),
            Body::HeadRequest { number, have } => {
                Self::HeadRequest(frame::HeadRequest { number, have })
            }
            Body::HeadResponse(bytes) => Self::HeadResponse(bytes),
            Body::CopyRequest { table, from } => {
                Self::CopyRequest(frame::CopyRequest { table, from })
            }
            Body::CopyResponse(bytes) => Self::CopyResponse(bytes),
            Body::StatusRequest => Self::StatusRequest,
            Body::StatusResponse {
                number,
                digest,
                incarnation,
                leaving,
            } => Self::StatusResponse(frame::Status {
                number,
                digest,
                incarnation,
                leaving,
            }),
        })
    }
}

impl TryFrom<Message> for message::Message {
    type Error = Error;

    fn try_from(raw: Message) -> Result<Self> {
        Ok(Self {
            from: u64::from_le_bytes(raw.from),
            incarnation: u64::from_le_bytes(raw.incarnation),
            head: raw.head.map(|(number, digest)| Head { number, digest }),
            updates: convert_all(raw.updates, MAX_UPDATES, "news")?,
            body: raw.body.try_into()?,
        })
    }
}

impl TryFrom<MemberBody> for message::Body {
    type Error = Error;

    fn try_from(raw: MemberBody) -> Result<Self> {
        Ok(match raw {
            MemberBody::Ping { seq, to } => Self::Ping {
                seq,
                to: u64::from_le_bytes(to),
            },
            MemberBody::Ack { seq, of } => Self::Ack {
                seq,
                of: u64::from_le_bytes(of),
            },
            MemberBody::IndirectPing { seq, to, addr } => Self::IndirectPing {
                seq,
                to: u64::from_le_bytes(to),
                addr,
            },
            MemberBody::Identify => Self::Identify,
            MemberBody::Rows(rows) => Self::Rows(convert_all(rows, MAX_ROWS, "rows")?),
            MemberBody::Empty => Self::Empty,
            MemberBody::Items(items) => Self::Items(convert_all(items, MAX_ITEMS, "items")?),
            MemberBody::Digest(summaries) => {
                Self::Digest(convert_all(summaries, BUCKETS, "digest")?)
            }
            MemberBody::Delta(delta) => Self::Delta(delta.try_into()?),
        })
    }
}

impl TryFrom<Row> for message::Row {
    type Error = Error;

    fn try_from(raw: Row) -> Result<Self> {
        let identity = identity::Identity {
            name: check_name(raw.name, "name")?,
            addr: raw.addr,
            zone: check_name(raw.zone, "zone")?,
            region: check_name(raw.region, "region")?,
            incarnation: u64::from_le_bytes(raw.incarnation),
        };
        Ok(Self {
            identity,
            refutations: check_refutations(raw.refutations)?,
        })
    }
}

impl TryFrom<Update> for message::Update {
    type Error = Error;

    fn try_from(raw: Update) -> Result<Self> {
        Ok(match raw {
            Update::Join(row) => Self::Join(row.try_into()?),
            Update::Suspect(run) => Self::Suspect(run.try_into()?),
            Update::Alive(run) => Self::Alive(run.try_into()?),
            Update::Left(run) => Self::Left(run.try_into()?),
        })
    }
}

impl TryFrom<Run> for message::Run {
    type Error = Error;

    fn try_from(raw: Run) -> Result<Self> {
        let (id, incarnation) = (
            u64::from_le_bytes(raw.id),
            u64::from_le_bytes(raw.incarnation),
        );
        Ok(Self {
            id,
            incarnation,
            refutations: check_refutations(raw.refutations)?,
        })
    }
}

impl TryFrom<Summary> for message::Summary {
    type Error = Error;

    fn try_from(raw: Summary) -> Result<Self> {
        if raw.versions.len() > MAX_BUCKET_ROWS {
            return Err(Error::InvalidField("versions"));
        }
        Ok(Self {
            hash: u32::from_le_bytes(raw.hash),
            versions: raw.versions,
        })
    }
}

impl TryFrom<Delta> for message::Delta {
    type Error = Error;

    fn try_from(raw: Delta) -> Result<Self> {
        if raw.complete.len() > BUCKETS {
            return Err(Error::InvalidField("whole"));
        }
        Ok(Self {
            items: convert_all(raw.groups, BUCKETS, "groups")?,
            rows: convert_all(raw.rows, MAX_ROWS, "rows")?,
            complete: raw
                .complete
                .into_iter()
                .map(check_bucket)
                .collect::<Result<_>>()?,
            requests: convert_all(raw.requests, BUCKETS, "wants")?,
        })
    }
}

impl TryFrom<BucketItems> for message::BucketItems {
    type Error = Error;

    fn try_from(raw: BucketItems) -> Result<Self> {
        Ok(Self {
            bucket: check_bucket(raw.bucket)?,
            hash: u32::from_le_bytes(raw.hash),
            batches: convert_all(raw.batches, MAX_BUCKET_ROWS, "batches")?,
        })
    }
}

impl TryFrom<Batch> for message::Batch {
    type Error = Error;

    fn try_from(raw: Batch) -> Result<Self> {
        let publications: Vec<message::Publication> =
            convert_all(raw.publications, MAX_ITEMS, "prints")?;
        let ascending = publications.windows(2).all(|w| w[0].version < w[1].version);
        let covered = publications.last().is_none_or(|p| p.version <= raw.up_to);
        if !ascending || !covered {
            return Err(Error::InvalidField("prints"));
        }
        Ok(Self {
            row: raw.row,
            up_to: raw.up_to,
            publications,
        })
    }
}

impl TryFrom<Publication> for message::Publication {
    type Error = Error;

    fn try_from(raw: Publication) -> Result<Self> {
        Ok(Self {
            version: raw.version,
            observations: convert_all(raw.items, MAX_ITEMS, "items")?,
        })
    }
}

impl TryFrom<Request> for message::Request {
    type Error = Error;

    fn try_from(raw: Request) -> Result<Self> {
        if raw.known.len() > MAX_BUCKET_ROWS {
            return Err(Error::InvalidField("gaps"));
        }
        let known_version = |known: KnownVersion| message::KnownVersion {
            row: known.row,
            version: known.version,
        };
        let known = raw.known.into_iter().map(known_version).collect();
        Ok(Self {
            bucket: check_bucket(raw.bucket)?,
            hash: u32::from_le_bytes(raw.hash),
            known,
        })
    }
}

impl TryFrom<Item> for item::Item {
    type Error = Error;

    fn try_from(raw: Item) -> Result<Self> {
        Ok(Self {
            origin: u64::from_le_bytes(raw.origin),
            incarnation: u64::from_le_bytes(raw.incarnation),
            version: raw.version,
            body: raw.body.try_into()?,
        })
    }
}

impl TryFrom<Observation> for item::Observation {
    type Error = Error;

    fn try_from(raw: Observation) -> Result<Self> {
        Ok(match raw {
            Observation::Leaving => Self::Leaving,
            Observation::Load(level) => Self::Load(Level(level)),
            Observation::Callers { addr, tls } => Self::Callers { addr, tls },
            Observation::Endpoint { name, ejected, ttl } => Self::Endpoint {
                name: check_name(name, "endpoint")?,
                ejected,
                ttl: check_ttl(ttl)?,
            },
            Observation::Releasing { name, ttl } => Self::Releasing {
                name: check_name(name, "endpoint")?,
                ttl: check_ttl(ttl)?,
            },
            Observation::Suspect { fingerprint, ttl } => Self::Suspect {
                fingerprint: u64::from_le_bytes(fingerprint),
                ttl: check_ttl(ttl)?,
            },
            Observation::Pending { fingerprint, ttl } => Self::Pending {
                fingerprint: u64::from_le_bytes(fingerprint),
                ttl: check_ttl(ttl)?,
            },
            Observation::Condemned { fingerprint, ttl } => Self::Condemned {
                fingerprint: u64::from_le_bytes(fingerprint),
                ttl: check_ttl(ttl)?,
            },
            Observation::Cleared { fingerprint, ttl } => Self::Cleared {
                fingerprint: u64::from_le_bytes(fingerprint),
                ttl: check_ttl(ttl)?,
            },
            Observation::Isolated {
                service,
                isolated,
                ttl,
            } => Self::Isolated {
                service: check_name(service, "service")?,
                isolated,
                ttl: check_ttl(ttl)?,
            },
            Observation::Ended { name, ended, ttl } => Self::Ended {
                name: check_name(name, "run")?,
                ended,
                ttl: check_ttl(ttl)?,
            },
            Observation::Demand {
                team,
                rate,
                in_flight,
            } => Self::Demand {
                team: u32::from_le_bytes(team),
                rate: Level(rate),
                in_flight: Level(in_flight),
            },
        })
    }
}
