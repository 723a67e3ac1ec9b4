//! Authentication of frames.
//!
//! Each side sends a [`Hello`] with a fresh nonce. Both derive a key per direction from the
//! shared key and the two hellos, so a frame recorded on another connection, or sent back the
//! way it came, does not verify. Within a connection the MAC covers a counter, so that a frame
//! left out, repeated or moved does not verify either.

use crate::error::{Error, Result};
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use std::fmt;
use std::net::SocketAddr;

/// Version of the protocol.
pub const PROTOCOL_VERSION: u16 = 1;
/// Bytes of a frame's MAC: HMAC-SHA-256 cut to its left half.
pub const TAG_LEN: usize = 16;
/// Bytes of the shared key at least.
const MIN_KEY_LEN: usize = 32;

type Hasher = Hmac<Sha256>;

/// The key that all nodes share.
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

/// The first frame of each side, without a MAC: it goes into the keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Version of the protocol.
    pub version: u16,
    /// Fresh random bytes.
    pub nonce: [u8; 16],
    /// Where the sender listens.
    pub addr: SocketAddr,
}

impl Hello {
    /// A hello with a fresh nonce.
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            version: PROTOCOL_VERSION,
            nonce: rand::random(),
            addr,
        }
    }

    /// Its bytes.
    pub fn encode(&self) -> Result<Vec<u8>> {
        bincode::serde::encode_to_vec(self, bincode::config::standard())
            .map_err(|e| Error::Codec(e.to_string()))
    }

    /// Reads its bytes.
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

/// Which side opened the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The one that connected.
    Client,
    /// The one that accepted.
    Server,
}

/// One direction of a connection.
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

    fn next_mac(&mut self, payload: &[u8]) -> Hasher {
        let mut mac = self.mac.clone();
        mac.update(&self.sequence.to_le_bytes());
        mac.update(payload);
        self.sequence += 1;
        mac
    }

    /// The MAC of the next frame to send.
    pub fn seal(&mut self, payload: &[u8]) -> [u8; TAG_LEN] {
        let full = self.next_mac(payload).finalize().into_bytes();
        let mut tag = [0; TAG_LEN];
        tag.copy_from_slice(&full[..TAG_LEN]);
        tag
    }

    /// The payload of the next frame received.
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
    /// Frames to the other side.
    pub send: Channel,
    /// Frames from the other side.
    pub recv: Channel,
}

impl Session {
    /// The session of the side `side`, from the bytes of both hellos.
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
