//! Authentication of frames.
//!
//! Each side sends a [`Hello`] with a random nonce. Both derive one key per direction from the
//! shared key and the two hellos, so a frame that is replayed from another connection or
//! reflected to its sender fails verification. The MAC also covers a sequence number, so frames
//! that are dropped, repeated or reordered within a connection fail verification too.

use crate::error::{Error, Result};
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use std::fmt;
use std::net::SocketAddr;

/// Version of the protocol between nodes.
pub const PROTOCOL_VERSION: u16 = 1;
/// Length in bytes of a frame's MAC: the left half of an HMAC-SHA-256.
pub const TAG_LEN: usize = 16;
/// Minimum length in bytes of the shared key.
const MIN_KEY_LEN: usize = 32;

type Hasher = Hmac<Sha256>;

/// The key that all nodes share, parsed from hexadecimal text.
#[derive(Clone, PartialEq, Eq)]
pub struct Key(Vec<u8>);

impl TryFrom<&str> for Key {
    type Error = Error;

    fn try_from(text: &str) -> Result<Self> {
        let bytes = hex::decode(text.trim()).map_err(|_| Error::InvalidKey)?;
        match bytes.len() >= MIN_KEY_LEN {
            true => Ok(Self(bytes)),
            false => Err(Error::InvalidKey),
        }
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(hidden)")
    }
}

/// The first frame that each side sends. It has no MAC; the keys of both directions are derived
/// from it, so a changed hello makes all later frames fail verification.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Version of the protocol that the sender speaks.
    pub version: u16,
    /// Random bytes, different for each connection.
    pub nonce: [u8; 16],
    /// Address that the sender's peers connect to.
    pub addr: SocketAddr,
}

impl Hello {
    /// Creates a hello with a random nonce.
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            version: PROTOCOL_VERSION,
            nonce: rand::random(),
            addr,
        }
    }

    /// Encodes the hello.
    pub fn encode(&self) -> Result<Vec<u8>> {
        bincode::serde::encode_to_vec(self, bincode::config::standard())
            .map_err(|e| Error::Codec(e.to_string()))
    }

    /// Decodes a hello. Fails if bytes are left over or the protocol version differs.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let config = bincode::config::standard().with_limit::<{ crate::limits::MAX_HELLO_LEN }>();
        let (hello, used): (Self, usize) = bincode::serde::decode_from_slice(bytes, config)
            .map_err(|e| Error::Codec(e.to_string()))?;
        if used != bytes.len() {
            return Err(Error::Codec("trailing bytes".into()));
        }
        if hello.version != PROTOCOL_VERSION {
            return Err(Error::UnsupportedVersion(hello.version));
        }
        Ok(hello)
    }
}

/// Role of one side of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The side that connected.
    Client,
    /// The side that accepted the connection.
    Server,
}

/// State of one direction of a connection: its key and the next sequence number.
#[derive(Clone)]
pub struct Channel {
    mac: Hasher,
    sequence: u64,
}

impl Channel {
    fn new(key: &Key, label: &[u8], client: &[u8], server: &[u8]) -> Result<Self> {
        let mut mac = Hasher::new_from_slice(&key.0).map_err(|_| Error::InvalidKey)?;
        mac.update(label);
        mac.update(&(client.len() as u64).to_le_bytes());
        mac.update(client);
        mac.update(server);
        let derived = mac.finalize().into_bytes();
        let mac = Hasher::new_from_slice(&derived).map_err(|_| Error::InvalidKey)?;
        Ok(Self { mac, sequence: 0 })
    }

    /// Computes the MAC state for the next frame and increments the sequence number.
    fn next_mac(&mut self, payload: &[u8]) -> Hasher {
        let mut mac = self.mac.clone();
        mac.update(&self.sequence.to_le_bytes());
        mac.update(payload);
        self.sequence += 1;
        mac
    }

    /// Returns the MAC of the next frame to send.
    pub fn seal(&mut self, payload: &[u8]) -> [u8; TAG_LEN] {
        let full = self.next_mac(payload).finalize().into_bytes();
        let mut tag = [0; TAG_LEN];
        tag.copy_from_slice(&full[..TAG_LEN]);
        tag
    }

    /// Verifies the next received frame and returns its payload.
    ///
    /// Fails with [`Error::InvalidMac`]. The sequence number also advances on a wrong MAC, after
    /// which the connection has to be closed.
    pub fn open<'a>(&mut self, frame: &'a [u8]) -> Result<&'a [u8]> {
        let at = frame.len().checked_sub(TAG_LEN).ok_or(Error::InvalidMac)?;
        let (payload, tag) = frame.split_at(at);
        self.next_mac(payload)
            .verify_truncated_left(tag)
            .map_err(|_| Error::InvalidMac)?;
        Ok(payload)
    }
}

/// Both directions of a connection.
pub struct Session {
    /// Direction to the other side.
    pub send: Channel,
    /// Direction from the other side.
    pub recv: Channel,
}

impl Session {
    /// Derives the session of one side from the encoded hellos of both.
    pub fn new(key: &Key, side: Side, client: &[u8], server: &[u8]) -> Result<Self> {
        let to_server = Channel::new(key, b"wigeonshelf peer client", client, server)?;
        let to_client = Channel::new(key, b"wigeonshelf peer server", client, server)?;
        Ok(match side {
            Side::Client => Self {
                send: to_server,
                recv: to_client,
            },
            Side::Server => Self {
                send: to_client,
                recv: to_server,
            },
        })
    }
}
