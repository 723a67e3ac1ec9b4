//! Frames between nodes, and their encoding.

use crate::error::{Error, Result};
use crate::limits::MAX_FRAME_LEN;
use crate::raw;
use std::fmt;

/// Number of a call, unique within the calling process.
pub type CallId = u64;

/// Role of a frame in a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A message without a response.
    OneWay,
    /// The request of the call.
    Request(CallId),
    /// The response of the call.
    Response(CallId),
}

/// A frame: a message, or a request or response of a call.
#[derive(Clone, Debug, PartialEq)]
pub struct Frame {
    /// Role in a call.
    pub kind: Kind,
    /// Content; [`Frame::decode`] refuses a body that does not fit the kind.
    pub body: Body,
}

/// Content of a frame.
#[derive(Clone, Debug, PartialEq)]
pub enum Body {
    /// A message of the membership protocol.
    Member(member::Message),
    /// Requests the records that lead to a version of the bundle.
    HeadRequest(HeadRequest),
    /// The records; `None` if the peer can't provide them.
    HeadResponse(Option<Vec<u8>>),
    /// Requests changes of a table from the peer's copy.
    CopyRequest(CopyRequest),
    /// The changes; `None` if the peer has no such copy.
    CopyResponse(Option<Vec<u8>>),
    /// Requests the peer's status.
    StatusRequest,
    /// The peer's status.
    StatusResponse(Status),
}

impl Body {
    /// Returns whether this is the request of a call.
    pub(crate) fn is_request(&self) -> bool {
        matches!(
            self,
            Self::HeadRequest(_) | Self::CopyRequest(_) | Self::StatusRequest
        )
    }

    /// Returns whether this is the response of a call.
    pub(crate) fn is_response(&self) -> bool {
        matches!(
            self,
            Self::HeadResponse(_) | Self::CopyResponse(_) | Self::StatusResponse(_)
        )
    }
}

/// A request for the records that lead to a version of the bundle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeadRequest {
    /// Number of the requested version.
    pub number: u64,
    /// Number of the version that the requester has; 0 for none.
    pub have: u64,
}

/// A request for the changes of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopyRequest {
    /// Number of the table.
    pub table: u8,
    /// Offset of the first change that the requester lacks.
    pub from: u64,
}

/// Status of a node: the version of the bundle or catalog that it applies, and its run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// Number of the version that is applied; 0 for none.
    pub number: u64,
    /// Digest of that version.
    pub digest: [u8; 32],
    /// Incarnation of the node's run.
    pub incarnation: u64,
    /// Whether the node is shutting down and accepts no new work.
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
    /// Creates a frame with a message that has no response.
    pub fn send(message: member::Message) -> Self {
        Self {
            kind: Kind::OneWay,
            body: Body::Member(message),
        }
    }

    /// Encodes the frame.
    pub fn encode(&self) -> Result<Vec<u8>> {
        let raw = raw::Frame::from(self);
        bincode::serde::encode_to_vec(&raw, bincode::config::standard())
            .map_err(|e| Error::Codec(e.to_string()))
    }

    /// Decodes a frame and checks its fields.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are too long, can't be decoded or have trailing bytes, or if a field is
    /// out of bounds.
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
