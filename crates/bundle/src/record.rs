//! Records of the log's stream of bundles, and their encoding.
//!
//! The encoding is JSON. Bodies are nearly all names and text, so a binary codec saves little
//! (the figures are in `docs/design/bundles.md`); the same bytes are the body of the admin API's
//! one write, and operators can read the log with what they have. What is signed is not the
//! JSON but [`crate::signed::Header::message`], so spaces and the order of keys don't matter.

use crate::delta::Delta;
use crate::delta::Mismatch;
use crate::digest::Digest;
use crate::finding::Findings;
use crate::section::{Key, Section};
use crate::sections::{self, Sections};
use crate::signed::{Envelope, Head, Header, Location, Version};
use crate::text;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// Longest record, in bytes; a longer one is refused before it is read.
pub const MAX_RECORD_LEN: usize = 4 << 20;

/// A record of the stream.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// A version, to be judged against the head.
    Version(Version),
    /// All that the records before it came to.
    Checkpoint(Head),
}

/// Why bytes are no record.
#[derive(Debug)]
pub enum Error {
    /// Longer than [`MAX_RECORD_LEN`].
    Size(usize),
    /// Not JSON of the expected shape.
    Shape(serde_json::Error),
    /// Sections in it can't be read.
    Text(Findings),
    /// The delta or the sections are not those that the header names.
    Digest,
    /// A delta of more than [`sections::MAX_SECTIONS`] sections.
    Sections,
    /// A checkpoint where a version is expected.
    Kind,
}

/// A result of reading a record.
pub type Result<T, E = Error> = std::result::Result<T, E>;

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Size(len) => write!(f, "{len} bytes, over {MAX_RECORD_LEN}"),
            Self::Shape(e) => write!(f, "not a record: {e}"),
            Self::Text(findings) => write!(f, "sections can't be read: {findings}"),
            Self::Digest => f.write_str("content doesn't have the digest in the header"),
            Self::Sections => write!(f, "over {} sections", sections::MAX_SECTIONS),
            Self::Kind => f.write_str("a checkpoint, not a version"),
        }
    }
}

impl std::error::Error for Error {}

/// Wire form of a record.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum RawRecord {
    Version(RawVersion),
    Checkpoint(RawHead),
}

/// Wire form of a header with its signature; digests and keys in hex.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawEnvelope {
    signer: String,
    number: u64,
    parent: Hex<32>,
    result: Hex<32>,
    delta: Hex<32>,
    signature: Hex<64>,
}

/// Wire form of a version.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawVersion {
    envelope: RawEnvelope,
    #[serde(default)]
    set: BTreeMap<String, String>,
    #[serde(default)]
    removed: BTreeSet<String>,
}

/// Wire form of a head.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawHead {
    envelope: RawEnvelope,
    next: u64,
    #[serde(default)]
    written: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    checkpoint: Option<RawLocation>,
    text: String,
}

/// Wire form of the place of a checkpoint; its time in seconds.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawLocation {
    offset: u64,
    next: u64,
    written: u64,
    number: u64,
}

/// Bytes that are written in hex.
#[derive(Clone, Copy, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
struct Hex<const N: usize>([u8; N]);

impl<const N: usize> From<Hex<N>> for String {
    fn from(hex: Hex<N>) -> Self {
        hex::encode(hex.0)
    }
}

impl<const N: usize> TryFrom<String> for Hex<N> {
    type Error = hex::FromHexError;

    fn try_from(text: String) -> Result<Self, hex::FromHexError> {
        let mut bytes = [0; N];
        hex::decode_to_slice(text, &mut bytes)?;
        Ok(Self(bytes))
    }
}

impl Record {
    /// Reads a record. Its content has the digests of its header; the signature is not checked.
    pub fn decode(body: &[u8]) -> Result<Self> {
        if body.len() > MAX_RECORD_LEN {
            return Err(Error::Size(body.len()));
        }
        let raw = serde_json::from_slice(body).map_err(Error::Shape)?;
        match raw {
            RawRecord::Version(raw) => Version::try_from(raw).map(Self::Version),
            RawRecord::Checkpoint(raw) => Head::try_from(raw).map(Self::Checkpoint),
        }
    }

    /// The bytes of the record.
    pub fn encode(&self) -> Vec<u8> {
        let raw = match self {
            Self::Version(version) => RawRecord::Version(version.into()),
            Self::Checkpoint(head) => RawRecord::Checkpoint(head.into()),
        };
        // Only maps with keys that aren't strings can fail, and there are none.
        serde_json::to_vec(&raw).unwrap_or_default()
    }

    /// All sections, of a checkpoint or of a first version.
    pub fn sections(&self) -> Result<Sections, Mismatch> {
        match self {
            Self::Version(version) => version.delta.apply(&Sections::default()),
            Self::Checkpoint(head) => Ok(head.sections.clone()),
        }
    }

    /// Header and signature.
    pub fn envelope(&self) -> &Envelope {
        match self {
            Self::Version(version) => &version.envelope,
            Self::Checkpoint(head) => &head.envelope,
        }
    }
}

impl From<RawEnvelope> for Envelope {
    fn from(raw: RawEnvelope) -> Self {
        Self {
            header: Header {
                signer: raw.signer,
                number: raw.number,
                parent: Digest(raw.parent.0),
                result: Digest(raw.result.0),
                delta: Digest(raw.delta.0),
            },
            signature: raw.signature.0,
        }
    }
}

impl From<&Envelope> for RawEnvelope {
    fn from(envelope: &Envelope) -> Self {
        let header = &envelope.header;
        Self {
            signer: header.signer.clone(),
            number: header.number,
            parent: Hex(header.parent.0),
            result: Hex(header.result.0),
            delta: Hex(header.delta.0),
            signature: Hex(envelope.signature),
        }
    }
}

impl From<RawLocation> for Location {
    fn from(raw: RawLocation) -> Self {
        Self {
            offset: raw.offset,
            next: raw.next,
            written: Duration::from_secs(raw.written),
            number: raw.number,
        }
    }
}

impl From<Location> for RawLocation {
    fn from(location: Location) -> Self {
        Self {
            offset: location.offset,
            next: location.next,
            written: location.written.as_secs(),
            number: location.number,
        }
    }
}

impl From<&Version> for RawVersion {
    fn from(version: &Version) -> Self {
        let set = version.delta.set.values();
        let removed = version.delta.removed.iter();
        Self {
            envelope: (&version.envelope).into(),
            set: set.map(|s| (s.key().to_string(), s.body())).collect(),
            removed: removed.map(Key::to_string).collect(),
        }
    }
}

impl TryFrom<RawVersion> for Version {
    type Error = Error;

    fn try_from(raw: RawVersion) -> Result<Self> {
        // A bound on memory that holds before anybody has checked a signature.
        if raw.set.len() + raw.removed.len() > sections::MAX_SECTIONS {
            return Err(Error::Sections);
        }
        let mut findings = Findings::default();
        let mut delta = Delta::default();
        for (header, body) in &raw.set {
            let section: Option<Section> = text::parse_section(header, body, 0, &mut findings);
            let Some(section) = section else { continue };
            delta.set.insert(section.key().clone(), Arc::new(section));
        }
        for header in &raw.removed {
            match header.parse() {
                Ok(key) => {
                    delta.removed.insert(key);
                }
                Err(message) => findings.push(text::error(0, header, message)),
            }
        }
        if findings.has_errors() {
            return Err(Error::Text(findings));
        }
        let envelope = Envelope::from(raw.envelope);
        if delta.digest() != envelope.header.delta {
            return Err(Error::Digest);
        }
        Ok(Self { envelope, delta })
    }
}

impl From<&Head> for RawHead {
    fn from(head: &Head) -> Self {
        Self {
            envelope: (&head.envelope).into(),
            next: head.next,
            written: head.written.as_secs(),
            checkpoint: head.checkpoint.map(RawLocation::from),
            text: head.sections.to_string(),
        }
    }
}

impl TryFrom<RawHead> for Head {
    type Error = Error;

    fn try_from(raw: RawHead) -> Result<Self> {
        let sections = text::parse(&raw.text).map_err(Error::Text)?;
        let envelope = Envelope::from(raw.envelope);
        if sections.digest() != envelope.header.result {
            return Err(Error::Digest);
        }
        Ok(Self {
            envelope,
            next: raw.next,
            written: Duration::from_secs(raw.written),
            checkpoint: raw.checkpoint.map(Location::from),
            sections,
        })
    }
}
