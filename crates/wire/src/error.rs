//! Errors of frames and connections.

use std::fmt;
use std::net::SocketAddr;

/// The result of this crate's fallible functions.
pub type Result<T> = std::result::Result<T, Error>;

/// An error.
#[derive(Debug)]
pub enum Error {
    /// The shared key is not hexadecimal, or shorter than 32 bytes.
    InvalidKey,
    /// A frame is longer than the bound.
    FrameTooLong(usize),
    /// A frame is not what the codec reads.
    Codec(String),
    /// A field is outside its bounds.
    InvalidField(&'static str),
    /// A frame's MAC is wrong: another key, a replay, or a changed byte.
    InvalidMac,
    /// The other side speaks another version.
    UnsupportedVersion(u16),
    /// The peer did not answer in time.
    Timeout(SocketAddr),
    /// The connection is open and nothing comes back.
    Unresponsive,
    /// The connection ended.
    Closed,
    /// A queue is full.
    QueueFull,
    /// The socket failed.
    Io(std::io::Error),
    /// HTTP/2 failed.
    H2(h2::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InvalidKey => write!(f, "the peer key is not at least 32 bytes in hexadecimal"),
            Self::FrameTooLong(len) => write!(f, "a frame of {len} bytes is over the bound"),
            Self::Codec(what) => write!(f, "a frame cannot be read: {what}"),
            Self::InvalidField(what) => write!(f, "a frame's field is out of bounds: {what}"),
            Self::InvalidMac => write!(f, "a frame's MAC is wrong"),
            Self::UnsupportedVersion(version) => write!(f, "the peer speaks version {version}"),
            Self::Timeout(addr) => write!(f, "{addr} did not answer in time"),
            Self::Unresponsive => write!(f, "the connection went silent"),
            Self::Closed => write!(f, "the connection is closed"),
            Self::QueueFull => write!(f, "the queue is full"),
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
