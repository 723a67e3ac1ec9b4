//! Errors of frames and connections.

use std::fmt;
use std::net::SocketAddr;

/// The result of this crate's fallible functions.
pub type Result<T> = std::result::Result<T, Error>;

/// An error of a frame, a connection or a call.
#[derive(Debug)]
pub enum Error {
    /// The shared key is not hexadecimal, or shorter than 32 bytes.
    InvalidKey,
    /// A frame exceeds the length limit; has its length, or the bytes buffered so far, in bytes.
    FrameTooLong(usize),
    /// A frame can't be encoded or decoded; has the reason.
    Codec(String),
    /// A field of a frame is out of bounds or does not fit the rest; has the field's name.
    InvalidField(&'static str),
    /// A frame's MAC is wrong: the key differs, or the frame is replayed, reordered or changed.
    InvalidMac,
    /// The peer speaks another version of the protocol.
    UnsupportedVersion(u16),
    /// The peer did not complete a handshake or a call in time.
    Timeout(SocketAddr),
    /// The connection is open, but the peer confirmed nothing in time.
    Unresponsive,
    /// The connection or link ended, or the call was abandoned because the peer is unreachable.
    Closed,
    /// The queue of frames to a peer is full.
    QueueFull,
    /// The socket failed.
    Io(std::io::Error),
    /// HTTP/2 failed.
    H2(h2::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InvalidKey => write!(
                f,
                "the peer key is not hexadecimal or is shorter than 32 bytes"
            ),
            Self::FrameTooLong(len) => write!(f, "a frame of {len} bytes exceeds the length limit"),
            Self::Codec(what) => write!(f, "a frame can't be encoded or decoded: {what}"),
            Self::InvalidField(what) => write!(f, "a frame's field is invalid: {what}"),
            Self::InvalidMac => write!(f, "a frame's MAC is wrong"),
            Self::UnsupportedVersion(version) => {
                write!(f, "the peer speaks unsupported protocol version {version}")
            }
            Self::Timeout(addr) => write!(f, "{addr} did not answer within the timeout"),
            Self::Unresponsive => write!(f, "the connection is open but the peer does not respond"),
            Self::Closed => write!(f, "the connection is closed"),
            Self::QueueFull => write!(f, "the queue of frames to the peer is full"),
            Self::Io(error) => write!(f, "socket: {error}"),
            Self::H2(error) => write!(f, "http/2: {error}"),
        }
    }
}

impl std::error::Error for Error {}

impl From<std::io::Error> for Error {
    fn from(error: std::io::Error) -> Self {
        Self::Io(error)
    }
}

impl From<h2::Error> for Error {
    fn from(error: h2::Error) -> Self {
        Self::H2(error)
    }
}
