//! Records of the leases stream.

use crate::group_lease::{Group, Number};
use crate::{Offset, Owner};
use bundle::id;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Largest record, in bytes.
pub const MAX_BYTES: usize = 16 << 10;
/// Most items of a record.
pub const MAX_ITEMS: usize = 256;
/// Version of the encoding, the first byte of each record.
const VERSION: u8 = 1;

/// One thing said about one group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Item {
    /// The owner takes or renews the group.
    #[serde(rename = "Take")]
    Acquire {
        /// The group.
        group: Group,
        /// The item's number.
        number: Number,
        /// The owner had read all offsets below this.
        upto: Offset,
        /// Highest number of a bundle whose roll was stopped.
        stop: id::Number,
    },
    /// The owner lets go of the group; none of its orders is under way.
    #[serde(rename = "Give")]
    Release {
        /// The group.
        group: Group,
        /// Highest number that the owner has given out: later items take the group anew.
        number: Number,
    },
}

/// A record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Who appended it.
    pub owner: Owner,
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
            return Err(Error::Large);
        }
        let Some((&VERSION, body)) = bytes.split_first() else {
            return Err(Error::Version);
        };
        let config = bincode::config::standard().with_limit::<MAX_BYTES>();
        let (record, used): (Self, usize) = bincode::serde::decode_from_slice(body, config)
            .map_err(|e| Error::Code(e.to_string()))?;
        if used != body.len() {
            return Err(Error::Code(format!("{} bytes too many", body.len() - used)));
        }
        match record.items.len() > MAX_ITEMS {
            true => Err(Error::Large),
            false => Ok(record),
        }
    }
}
