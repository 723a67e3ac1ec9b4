//! Records of the streams of claims.

use crate::claim::{Fingerprint, Hash, Number};
use crate::{Offset, Outcome, Owner, WallTime};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// Maximum size of a record in bytes.
pub const MAX_BYTES: usize = 64 << 10;
/// Maximum number of items in a record.
pub const MAX_ITEMS: usize = 512;
/// Version of the encoding, the first byte of each record.
const VERSION: u8 = 1;

/// A statement about one key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Item {
    /// The owner of the batch claims the key.
    Claim {
        /// Hash of the key.
        hash: Hash,
        /// Time at which the key was created.
        date: WallTime,
        /// Hash of the request's team and body.
        fingerprint: Fingerprint,
        /// Sequence number of the claim.
        number: Number,
    },
    /// The run under a claim ended. [`Outcome::NotRun`] releases the key.
    End {
        /// Hash of the key.
        hash: Hash,
        /// Sequence number of the claim.
        number: Number,
        /// Outcome of the run.
        outcome: Outcome,
    },
}

/// Content of a record: items of one owner, and a date for the stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Owner that appended the record.
    pub owner: Owner,
    /// At time `at` the stream contained all offsets below `upto`. This remains true however late
    /// the record is appended, so readers may use it to bound the age of earlier records.
    pub upto: Offset,
    /// Time at which the owner had read the offsets below `upto`, by its wall clock.
    pub at: WallTime,
    /// Items of the record.
    pub items: Vec<Item>,
}

/// Error of decoding a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// Larger than [`MAX_BYTES`] or with more than [`MAX_ITEMS`] items.
    TooLarge,
    /// Unsupported version of the encoding.
    UnsupportedVersion,
    /// Malformed record, with details.
    Malformed(String),
}

/// Result of decoding a record.
pub type Result<T> = std::result::Result<T, Error>;

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge => f.write_str("record too large"),
            Self::UnsupportedVersion => f.write_str("unsupported record version"),
            Self::Malformed(text) => write!(f, "malformed record: {text}"),
        }
    }
}

impl std::error::Error for Error {}

#[derive(Serialize, Deserialize)]
enum WireItem {
    Claim {
        hash: [u8; 16],
        date: u64,
        fingerprint: [u8; 8],
        number: u64,
    },
    End {
        hash: [u8; 16],
        number: u64,
        outcome: Outcome,
    },
}

#[derive(Serialize, Deserialize)]
struct WireBatch {
    node: u64,
    incarnation: [u8; 8],
    upto: u64,
    at: u64,
    items: Vec<WireItem>,
}

impl Batch {
    /// Encodes the record.
    pub fn encode(&self) -> Bytes {
        let config = bincode::config::standard();
        let mut bytes = vec![VERSION];
        let body = bincode::serde::encode_to_vec(WireBatch::from(self), config);
        bytes.extend(body.unwrap_or_default());
        bytes.into()
    }

    /// Decodes a record.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        if bytes.len() > MAX_BYTES {
            return Err(Error::TooLarge);
        }
        let Some((&VERSION, body)) = bytes.split_first() else {
            return Err(Error::UnsupportedVersion);
        };
        let config = bincode::config::standard().with_limit::<MAX_BYTES>();
        let (wire, used): (WireBatch, usize) = bincode::serde::decode_from_slice(body, config)
            .map_err(|e| Error::Malformed(e.to_string()))?;
        if used != body.len() {
            return Err(Error::Malformed(format!(
                "{} trailing bytes",
                body.len() - used
            )));
        }
        Self::try_from(wire)
    }
}

impl From<&Batch> for WireBatch {
    fn from(batch: &Batch) -> Self {
        Self {
            node: batch.owner.node,
            incarnation: batch.owner.incarnation.to_le_bytes(),
            upto: batch.upto,
            at: millis(batch.at),
            items: batch.items.iter().map(WireItem::from).collect(),
        }
    }
}

impl From<&Item> for WireItem {
    fn from(item: &Item) -> Self {
        match *item {
            Item::Claim {
                hash,
                date,
                fingerprint,
                number,
            } => Self::Claim {
                hash: hash.to_le_bytes(),
                date: millis(date),
                fingerprint: fingerprint.to_le_bytes(),
                number,
            },
            Item::End {
                hash,
                number,
                outcome,
            } => Self::End {
                hash: hash.to_le_bytes(),
                number,
                outcome,
            },
        }
    }
}

impl TryFrom<WireBatch> for Batch {
    type Error = Error;

    fn try_from(wire: WireBatch) -> Result<Self> {
        if wire.items.len() > MAX_ITEMS {
            return Err(Error::TooLarge);
        }
        let incarnation = u64::from_le_bytes(wire.incarnation);
        Ok(Self {
            owner: Owner {
                node: wire.node,
                incarnation,
            },
            upto: wire.upto,
            at: Duration::from_millis(wire.at),
            items: wire.items.into_iter().map(Item::from).collect(),
        })
    }
}

impl From<WireItem> for Item {
    fn from(wire: WireItem) -> Self {
        match wire {
            WireItem::Claim {
                hash,
                date,
                fingerprint,
                number,
            } => Self::Claim {
                hash: Hash::from_le_bytes(hash),
                date: Duration::from_millis(date),
                fingerprint: u64::from_le_bytes(fingerprint),
                number,
            },
            WireItem::End {
                hash,
                number,
                outcome,
            } => Self::End {
                hash: Hash::from_le_bytes(hash),
                number,
                outcome,
            },
        }
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
