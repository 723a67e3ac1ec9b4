//! Formats on the network, described in `docs/PLATFORM.md`. The stand-in services for tests use
//! them too.

use crate::error::Cause;
use crate::instance::{Instance, State};
use crate::log;
use crate::weights::Rate;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Maximum size in bytes of a page that is decoded, independently of the limits of the client.
const MAX_PAGE_BYTES: usize = 16 << 20;
/// Maximum length of a stream name in bytes.
const MAX_STREAM_NAME_BYTES: usize = 64;

/// Response to an append, JSON.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// Offset of the record.
    pub offset: u64,
}

/// A record within a [`Page`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Offset of the record.
    pub offset: u64,
    /// Body that was appended.
    pub body: Vec<u8>,
}

/// Response to a read, bincode in its standard configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// First offset that the stream still holds.
    pub first: u64,
    /// Offset at which to continue reading.
    pub next: u64,
    /// Records in order of their offsets.
    pub records: Vec<Record>,
}

/// An instance in the instance list, JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Name of the instance, unique in the list.
    pub name: String,
    /// State: `live` or `leaving`.
    pub state: String,
    /// Name of the availability zone.
    pub zone: String,
    /// Address as `IP:PORT`, if known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub addr: Option<SocketAddr>,
}

/// Response of the instance list, JSON.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instances {
    /// All listed instances.
    pub instances: Vec<Item>,
}

/// Response of the weight store, JSON.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allowed {
    /// Maximum number of fetches started per minute, over all engines.
    pub per_minute: u32,
    /// Maximum number of concurrent fetches, over all engines.
    pub at_once: u32,
}

/// Returns the path of the records of a stream, or an error for an invalid stream name.
pub fn records_path(stream: &str) -> Result<String, Cause> {
    if stream.is_empty()
        || stream.len() > MAX_STREAM_NAME_BYTES
        || !stream.bytes().all(is_name_byte)
    {
        return Err(Cause::Invalid(format!(
            "stream name {stream:?} is empty, too long or has a forbidden character"
        )));
    }
    Ok(format!("/v1/streams/{stream}/records"))
}

/// Path of the instance list.
pub const INSTANCES_PATH: &str = "/v1/instances";
/// Path of the weight store's rate limits.
pub const RATE_PATH: &str = "/v1/rate";

/// Decodes a JSON response.
pub fn decode_json<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, Cause> {
    serde_json::from_slice(bytes).map_err(|e| Cause::Decode(e.to_string()))
}

impl Page {
    /// Encodes the page as bincode.
    pub fn encode(&self) -> Vec<u8> {
        bincode::serde::encode_to_vec(self, bincode::config::standard()).unwrap_or_default()
    }

    /// Decodes a page from bincode. Fails if bytes are left over. Offsets are checked by the
    /// conversion to [`log::Page`].
    pub fn decode(bytes: &[u8]) -> Result<Self, Cause> {
        let config = bincode::config::standard().with_limit::<MAX_PAGE_BYTES>();
        let (page, used) = bincode::serde::decode_from_slice(bytes, config)
            .map_err(|e| Cause::Decode(e.to_string()))?;
        match used == bytes.len() {
            true => Ok(page),
            false => Err(Cause::Decode(format!(
                "{} bytes left over after the page",
                bytes.len() - used
            ))),
        }
    }
}

impl From<log::Page> for Page {
    fn from(page: log::Page) -> Self {
        let record = |r: log::Record| Record {
            offset: r.offset,
            body: r.body.to_vec(),
        };
        let records = page.records.into_iter().map(record).collect();
        Self {
            first: page.first,
            next: page.next,
            records,
        }
    }
}

impl TryFrom<Page> for log::Page {
    type Error = Cause;

    /// Checks that offsets are consecutive, start at or above `first` and end just before `next`. A
    /// reader that took a page with a gap for complete would decide without some of the records.
    fn try_from(page: Page) -> Result<Self, Cause> {
        let mut records = Vec::with_capacity(page.records.len());
        let mut expected = page.records.first().map_or(page.next, |r| r.offset);
        if expected < page.first {
            return Err(Cause::Decode(format!(
                "offset {expected} is below the first offset {}",
                page.first
            )));
        }
        for record in page.records {
            if record.offset != expected {
                let found = record.offset;
                return Err(Cause::Decode(format!(
                    "found offset {found}, expected {expected}"
                )));
            }
            expected = expected
                .checked_add(1)
                .ok_or_else(|| Cause::Decode("offset overflow".into()))?;
            records.push(log::Record {
                offset: record.offset,
                body: Bytes::from(record.body),
            });
        }
        match expected == page.next {
            true => Ok(Self {
                first: page.first,
                next: page.next,
                records,
            }),
            false => Err(Cause::Decode(format!(
                "next offset is {}, expected {expected}",
                page.next
            ))),
        }
    }
}

impl From<&Instance> for Item {
    fn from(instance: &Instance) -> Self {
        Self {
            name: instance.name.clone(),
            state: instance.state.to_string(),
            zone: instance.zone.clone(),
            addr: instance.addr,
        }
    }
}

impl TryFrom<Item> for Instance {
    type Error = Cause;

    fn try_from(item: Item) -> Result<Self, Cause> {
        let state = match item.state.as_str() {
            "live" => State::Live,
            "leaving" => State::Leaving,
            other => {
                return Err(Cause::Decode(format!(
                    "instance {}: unknown state {other:?}",
                    item.name
                )));
            }
        };
        if item.name.is_empty() {
            return Err(Cause::Decode("instance without a name".into()));
        }
        Ok(Self {
            name: item.name,
            state,
            zone: item.zone,
            addr: item.addr,
        })
    }
}

impl From<Rate> for Allowed {
    fn from(rate: Rate) -> Self {
        Self {
            per_minute: rate.per_minute,
            at_once: rate.at_once,
        }
    }
}

impl From<Allowed> for Rate {
    fn from(allowed: Allowed) -> Self {
        Self {
            per_minute: allowed.per_minute,
            at_once: allowed.at_once,
        }
    }
}

/// Returns whether a stream name may contain `byte`.
fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_'
}
