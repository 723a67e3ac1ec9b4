//! From raw types to checked ones: every length and index is bounded here.

use super::*;
use crate::error::{Error, Result};
use crate::frame;
use member::head::Head;
use member::level::Level;
use member::roster::BUCKETS;
use member::store::MAX_TTL;
use member::{identity, item, message};
use std::time::Duration;

/// Bytes of a name at most.
const NAME: usize = 255;
/// News of one message at most.
const NEWS: usize = 64;
/// Rows of one message at most.
const ROWS: usize = 4_096;
/// Urgent items of one message at most.
const ITEMS: usize = 1_024;
/// Rows of one bucket at most.
const PLACES: usize = 256;

/// Converts each of at most `most` values.
fn all<R, T: TryFrom<R, Error = Error>>(
    rows: Vec<R>,
    most: usize,
    what: &'static str,
) -> Result<Vec<T>> {
    if rows.len() > most {
        return Err(Error::InvalidField(what));
    }
    rows.into_iter().map(T::try_from).collect()
}

fn name(text: String, what: &'static str) -> Result<String> {
    let fits = !text.is_empty() && text.len() <= NAME && !text.contains(char::is_control);
    fits.then_some(text).ok_or(Error::InvalidField(what))
}

fn bucket(index: u8) -> Result<u8> {
    let fits = usize::from(index) < BUCKETS;
    fits.then_some(index).ok_or(Error::InvalidField("bucket"))
}

fn ttl(seconds: u32) -> Result<Duration> {
    let ttl = Duration::from_secs(seconds.into());
    (ttl <= MAX_TTL)
        .then_some(ttl)
        .ok_or(Error::InvalidField("ttl"))
}

impl TryFrom<Frame> for frame::Frame {
    type Error = Error;

    fn try_from(raw: Frame) -> Result<Self> {
        let kind = match raw.kind {
            Kind::Send => frame::Kind::OneWay,
            Kind::Ask(call) => frame::Kind::Request(call),
            Kind::Answer(call) => frame::Kind::Response(call),
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
            Body::HeadAsk { number, have } => {
                Self::HeadRequest(frame::HeadRequest { number, have })
            }
            Body::HeadGive(bytes) => Self::HeadResponse(bytes),
            Body::CopyAsk { table, from } => Self::CopyRequest(frame::CopyRequest { table, from }),
            Body::CopyGive(bytes) => Self::CopyResponse(bytes),
            Body::StatusAsk => Self::StatusRequest,
            Body::StatusGive {
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
            updates: all(raw.news, NEWS, "news")?,
            body: raw.body.try_into()?,
        })
    }
}

impl TryFrom<Matter> for message::Body {
    type Error = Error;

    fn try_from(raw: Matter) -> Result<Self> {
        Ok(match raw {
            Matter::Ping { seq, to } => Self::Ping {
                seq,
                to: u64::from_le_bytes(to),
            },
            Matter::Ack { seq, of } => Self::Ack {
                seq,
                of: u64::from_le_bytes(of),
            },
            Matter::Relay { seq, to, addr } => Self::IndirectPing {
                seq,
                to: u64::from_le_bytes(to),
                addr,
            },
            Matter::Who => Self::Identify,
            Matter::Rows(rows) => Self::Rows(all(rows, ROWS, "rows")?),
            Matter::Note => Self::Empty,
            Matter::Rumour(items) => Self::Items(all(items, ITEMS, "items")?),
            Matter::Digest(summaries) => Self::Digest(all(summaries, BUCKETS, "digest")?),
            Matter::Delta(delta) => Self::Delta(delta.try_into()?),
        })
    }
}

impl TryFrom<Row> for message::Row {
    type Error = Error;

    fn try_from(raw: Row) -> Result<Self> {
        let identity = identity::Identity {
            name: name(raw.name, "name")?,
            addr: raw.addr,
            zone: name(raw.zone, "zone")?,
            region: name(raw.region, "region")?,
            incarnation: u64::from_le_bytes(raw.incarnation),
        };
        Ok(Self {
            identity,
            refutations: raw.turn,
        })
    }
}

impl TryFrom<News> for message::Update {
    type Error = Error;

    fn try_from(raw: News) -> Result<Self> {
        Ok(match raw {
            News::Join(row) => Self::Join(row.try_into()?),
            News::Suspect(run) => Self::Suspect(run.into()),
            News::Alive(run) => Self::Alive(run.into()),
            News::Left(run) => Self::Left(run.into()),
        })
    }
}

impl From<Run> for message::Run {
    fn from(raw: Run) -> Self {
        let (id, incarnation) = (
            u64::from_le_bytes(raw.id),
            u64::from_le_bytes(raw.incarnation),
        );
        Self {
            id,
            incarnation,
            refutations: raw.turn,
        }
    }
}

impl TryFrom<Summary> for message::Summary {
    type Error = Error;

    fn try_from(raw: Summary) -> Result<Self> {
        if raw.versions.len() > PLACES {
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
        if raw.whole.len() > BUCKETS {
            return Err(Error::InvalidField("whole"));
        }
        Ok(Self {
            items: all(raw.groups, BUCKETS, "groups")?,
            rows: all(raw.rows, ROWS, "rows")?,
            complete: raw.whole.into_iter().map(bucket).collect::<Result<_>>()?,
            requests: all(raw.wants, BUCKETS, "wants")?,
        })
    }
}

impl TryFrom<Group> for message::BucketItems {
    type Error = Error;

    fn try_from(raw: Group) -> Result<Self> {
        Ok(Self {
            bucket: bucket(raw.bucket)?,
            hash: u32::from_le_bytes(raw.hash),
            batches: all(raw.batches, PLACES, "batches")?,
        })
    }
}

impl TryFrom<Batch> for message::Batch {
    type Error = Error;

    fn try_from(raw: Batch) -> Result<Self> {
        let prints: Vec<message::Publication> = all(raw.prints, ITEMS, "prints")?;
        let ascending = prints.windows(2).all(|w| w[0].version < w[1].version);
        let covered = prints.last().is_none_or(|p| p.version <= raw.upto);
        if !ascending || !covered {
            return Err(Error::InvalidField("prints"));
        }
        Ok(Self {
            row: raw.place,
            up_to: raw.upto,
            publications: prints,
        })
    }
}

impl TryFrom<Print> for message::Publication {
    type Error = Error;

    fn try_from(raw: Print) -> Result<Self> {
        Ok(Self {
            version: raw.version,
            observations: all(raw.items, ITEMS, "items")?,
        })
    }
}

impl TryFrom<Want> for message::Request {
    type Error = Error;

    fn try_from(raw: Want) -> Result<Self> {
        if raw.gaps.len() > PLACES {
            return Err(Error::InvalidField("gaps"));
        }
        let gap = |g: Gap| message::KnownVersion {
            row: g.place,
            version: g.version,
        };
        let gaps = raw.gaps.into_iter().map(gap).collect();
        Ok(Self {
            bucket: bucket(raw.bucket)?,
            hash: u32::from_le_bytes(raw.hash),
            known: gaps,
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
            Observation::Endpoint {
                name: text,
                ejected,
                ttl: left,
            } => Self::Endpoint {
                name: name(text, "endpoint")?,
                ejected,
                ttl: ttl(left)?,
            },
            Observation::Moving {
                name: text,
                ttl: left,
            } => Self::Releasing {
                name: name(text, "endpoint")?,
                ttl: ttl(left)?,
            },
            Observation::Suspect {
                fingerprint,
                ttl: left,
            } => Self::Suspect {
                fingerprint: u64::from_le_bytes(fingerprint),
                ttl: ttl(left)?,
            },
            Observation::Pending {
                fingerprint,
                ttl: left,
            } => Self::Pending {
                fingerprint: u64::from_le_bytes(fingerprint),
                ttl: ttl(left)?,
            },
            Observation::Condemned {
                fingerprint,
                ttl: left,
            } => Self::Condemned {
                fingerprint: u64::from_le_bytes(fingerprint),
                ttl: ttl(left)?,
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
