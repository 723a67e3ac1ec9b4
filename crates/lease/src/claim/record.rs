//! Records of a claims stream.

use crate::claim::{Fingerprint, Hash, Number};
use crate::{Offset, Outcome, Owner, WallTime};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// Largest record, in bytes.
pub const MAX_BYTES: usize = 64 << 10;
/// Most items of a batch.
pub const MAX_ITEMS: usize = 512;
/// Version of the encoding, the first byte of each record.
const VERSION: u8 = 1;

/// One thing said about one key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Item {
    /// The batch's owner wants to run the key.
    Claim {
        /// The key.
        hash: Hash,
        /// When the key was made.
        date: WallTime,
        /// What it stands for.
        fingerprint: Fingerprint,
        /// The claim's number.
        number: Number,
    },
    /// How the run under a claim ended; [`Outcome::NotRun`] releases the key.
    End {
        /// The key.
        hash: Hash,
        /// The claim's number.
        number: Number,
        /// How it ended.
        outcome: Outcome,
    },
}

/// A record: items of one owner, and a statement that dates the stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Who appended it.
    pub owner: Owner,
    /// At `at` the stream already held all offsets below `upto`. It stays true however late the
    /// record arrives, so a reader may rely on it to bound when older records were appended.
    pub upto: Offset,
    /// When the owner knew that, by its wall clock.
    pub at: WallTime,
    /// Items.
    pub items: Vec<Item>,
}

/// A record that can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// Larger than [`MAX_BYTES`] or with more than [`MAX_ITEMS`] items.
    Large,
    /// Another version of the encoding.
    Version,
    /// Not what the encoding gives; the text says where.
    Code(String),
}

/// Result of decoding.
pub type Result<T> = std::result::Result<T, Error>;

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Large => f.write_str("record too large"),
            Self::Version => f.write_str("record of another version"),
            Self::Code(text) => write!(f, "undecodable record: {text}"),
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
            return Err(Error::Large);
        }
        let Some((&VERSION, body)) = bytes.split_first() else {
            return Err(Error::Version);
        };
        let config = bincode::config::standard().with_limit::<MAX_BYTES>();
        let (wire, used): (WireBatch, usize) = bincode::serde::decode_from_slice(body, config)
            .map_err(|e| Error::Code(e.to_string()))?;
        if used != body.len() {
            return Err(Error::Code(format!("{} bytes too many", body.len() - used)));
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
            return Err(Error::Large);
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
