//! Frames and their codec.

use crate::error::{Error, Result};
use crate::limits::MAX_FRAME_LEN;
use crate::raw;
use std::fmt;

/// Number of an ask within one process.
pub type CallId = u64;

/// How a frame belongs to an ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// It needs no answer.
    OneWay,
    /// It asks.
    Request(CallId),
    /// It answers the ask of that number.
    Response(CallId),
}

/// A frame.
#[derive(Clone, Debug, PartialEq)]
pub struct Frame {
    /// How it belongs to an ask.
    pub kind: Kind,
    /// The matter itself.
    pub body: Body,
}

/// The matter of a frame.
#[derive(Clone, Debug, PartialEq)]
pub enum Body {
    /// For the group.
    Member(member::Message),
    /// Asks for the records that lead to a version.
    HeadRequest(HeadRequest),
    /// The records; nothing if they are not at hand.
    HeadResponse(Option<Vec<u8>>),
    /// Asks for changes of a table that the peer has a copy of.
    CopyRequest(CopyRequest),
    /// The changes; nothing if the peer has no such copy.
    CopyResponse(Option<Vec<u8>>),
    /// Asks what is in force.
    StatusRequest,
    /// What is in force.
    StatusResponse(Status),
}

impl Body {
    /// Whether it is an ask.
    pub(crate) fn is_request(&self) -> bool {
        matches!(
            self,
            Self::HeadRequest(_) | Self::CopyRequest(_) | Self::StatusRequest
        )
    }

    /// Whether it is the answer to an ask.
    pub(crate) fn is_response(&self) -> bool {
        matches!(
            self,
            Self::HeadResponse(_) | Self::CopyResponse(_) | Self::StatusResponse(_)
        )
    }
}

/// An ask for a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeadRequest {
    /// The version wanted.
    pub number: u64,
    /// The version at hand; 0 for none.
    pub have: u64,
}

/// An ask for the changes of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopyRequest {
    /// Number of the table.
    pub table: u8,
    /// Offset of the first change that is not at hand.
    pub from: u64,
}

/// What a node has in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// Number of the version; 0 for none.
    pub number: u64,
    /// Its digest.
    pub digest: [u8; 32],
    /// The node's run.
    pub incarnation: u64,
    /// Whether the node takes no new work.
    pub leaving: bool,
}

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            number,
            digest,
            incarnation,
            leaving,
        } = self;
        let digest = hex::encode(digest);
        write!(
            f,
            "version {number} {digest} run {incarnation} leaving={leaving}"
        )
    }
}

impl Frame {
    /// A frame that needs no answer.
    pub fn send(message: member::Message) -> Self {
        Self {
            kind: Kind::OneWay,
            body: Body::Member(message),
        }
    }

    /// Its bytes.
    pub fn encode(&self) -> Result<Vec<u8>> {
        let raw = raw::Frame::from(self);
        bincode::serde::encode_to_vec(&raw, bincode::config::standard())
            .map_err(|e| Error::Codec(e.to_string()))
    }

    /// Reads and checks its bytes.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        if bytes.len() > MAX_FRAME_LEN {
            return Err(Error::FrameTooLong(bytes.len()));
        }
        let config = bincode::config::standard().with_limit::<MAX_FRAME_LEN>();
        let (raw, used): (raw::Frame, usize) = bincode::serde::decode_from_slice(bytes, config)
            .map_err(|e| Error::Codec(e.to_string()))?;
        if used != bytes.len() {
            return Err(Error::Codec("trailing bytes".into()));
        }
        Self::try_from(raw)
    }
}
