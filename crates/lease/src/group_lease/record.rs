//! Records of the stream of leases.

use crate::group_lease::{Group, Number};
use crate::{Offset, Owner};
use bundle::id;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Maximum size of a record in bytes.
pub const MAX_BYTES: usize = 16 << 10;
/// Maximum number of items in a record.
pub const MAX_ITEMS: usize = 256;
/// Version of the encoding, the first byte of each record.
const VERSION: u8 = 1;

/// A statement about one group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Item {
    /// The owner acquires or renews the lease of the group.
    #[serde(rename = "Take")]
    Acquire {
        /// The group.
        group: Group,
        /// Sequence number of the item.
        number: Number,
        /// Offset below which the owner had read all records.
        upto: Offset,
        /// Highest number of a bundle whose roll was stopped in the group, or 0.
        stop: id::Number,
    },
    /// The owner releases the lease of the group. None of its orders is in flight.
    #[serde(rename = "Give")]
    Release {
        /// The group.
        group: Group,
        /// Highest number that the owner had assigned. Its items with higher numbers acquire the
        /// group again.
        number: Number,
    },
}

/// Content of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Owner that appended the record.
    pub owner: Owner,
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

impl Record {
    /// Encodes the record.
    pub fn encode(&self) -> Bytes {
        let mut bytes = vec![VERSION];
        let body = bincode::serde::encode_to_vec(self, bincode::config::standard());
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
        let (record, used): (Self, usize) = bincode::serde::decode_from_slice(body, config)
            .map_err(|e| Error::Malformed(e.to_string()))?;
        if used != body.len() {
            return Err(Error::Malformed(format!(
                "{} trailing bytes",
                body.len() - used
            )));
        }
        match record.items.len() > MAX_ITEMS {
            true => Err(Error::TooLarge),
            false => Ok(record),
        }
    }
}
