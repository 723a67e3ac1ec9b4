//! Records of the log's stream of bundle versions, and their encoding.
//!
//! The encoding is JSON. Bodies consist almost entirely of names and text, so a binary codec saves
//! little (the figures are in `docs/design/bundles.md`). The same bytes are the body of the only
//! write of the admin API, and operators can read the log with common tools. The signature covers
//! [`crate::signed::Header::message`], not the JSON, so whitespace and the order of keys don't
//! matter.

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

/// Maximum length of a record, in bytes; a longer one is refused before it is parsed.
pub const MAX_RECORD_LEN: usize = 4 << 20;

/// A record of the stream.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// A version, which the fold judges against the head.
    Version(Version),
    /// A checkpoint: the state that results from the records below its `next` offset.
    Checkpoint(Head),
}

/// Reason why bytes are not a valid record, or not a record of the expected kind.
#[derive(Debug)]
pub enum Error {
    /// The record has this length, more than [`MAX_RECORD_LEN`].
    Size(usize),
    /// The bytes are not JSON of the expected structure.
    Shape(serde_json::Error),
    /// The text of its sections can't be parsed.
    Text(Findings),
    /// The digest of the delta or the sections differs from the one in the header.
    Digest,
    /// The delta has more than [`sections::MAX_SECTIONS`] sections.
    Sections,
    /// The record is a checkpoint where a version is expected.
    Kind,
}

/// Result of decoding a record.
pub type Result<T, E = Error> = std::result::Result<T, E>;

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Size(len) => write!(
                f,
                "record of {len} bytes exceeds the maximum of {MAX_RECORD_LEN}"
            ),
            Self::Shape(e) => write!(f, "not a valid record: {e}"),
            Self::Text(findings) => write!(f, "sections can't be parsed: {findings}"),
            Self::Digest => {
                f.write_str("digest of the content differs from the digest in the header")
            }
            Self::Sections => write!(f, "delta of more than {} sections", sections::MAX_SECTIONS),
            Self::Kind => f.write_str("record is a checkpoint, not a version"),
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

/// Wire form of a version; the bodies of set sections are keyed by their headers.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawVersion {
    envelope: RawEnvelope,
    #[serde(default)]
    set: BTreeMap<String, String>,
    #[serde(default)]
    removed: BTreeSet<String>,
}

/// Wire form of a head; the time is in seconds since the Unix epoch.
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

/// Wire form of the location of a checkpoint; the time is in seconds since the Unix epoch.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawLocation {
    offset: u64,
    next: u64,
    written: u64,
    number: u64,
}

/// Byte array that is serialized as a hex string.
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
    /// Decodes a record and checks the digest of its content against the header. Does not check the
    /// signature.
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

    /// Encodes the record.
    pub fn encode(&self) -> Vec<u8> {
        let raw = match self {
            Self::Version(version) => RawRecord::Version(version.into()),
            Self::Checkpoint(head) => RawRecord::Checkpoint(head.into()),
        };
        // Serialization fails only for maps whose keys are not strings; there are none.
        serde_json::to_vec(&raw).unwrap_or_default()
    }

    /// Returns all sections of a checkpoint or of a first version; an error for a version whose
    /// delta needs a parent.
    pub fn sections(&self) -> Result<Sections, Mismatch> {
        match self {
            Self::Version(version) => version.delta.apply(&Sections::default()),
            Self::Checkpoint(head) => Ok(head.sections.clone()),
        }
    }

    /// Returns the header with its signature.
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
        // Bounds memory use before the signature is checked.
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
