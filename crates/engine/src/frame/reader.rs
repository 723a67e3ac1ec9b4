//! Incremental decoder of frames.

use super::{Error, Head, LENGTH_BYTES, MAX_HEAD_BYTES, Result};
use bytes::{Bytes, BytesMut};
use std::marker::PhantomData;

/// Item that a reader decodes from the byte stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Item<H> {
    /// A head.
    Head(H),
    /// A chunk of the payload that follows the last head.
    Payload(Bytes),
}

/// Splits a byte stream into heads and chunks of payload.
#[derive(Debug)]
pub struct Reader<H> {
    /// Received bytes that are not decoded yet.
    buffered: Bytes,
    /// Bytes of the current payload that have not been returned yet.
    remaining: usize,
    head: PhantomData<H>,
}

impl<H> Default for Reader<H> {
    fn default() -> Self {
        Self {
            buffered: Bytes::new(),
            remaining: 0,
            head: PhantomData,
        }
    }
}

impl<H: Head> Reader<H> {
    /// Adds received bytes. The caller reads all available items before it adds more bytes, so that
    /// at most one incomplete head is buffered.
    pub fn push(&mut self, chunk: Bytes) {
        if self.buffered.is_empty() {
            self.buffered = chunk;
            return;
        }
        let rest = std::mem::take(&mut self.buffered);
        let mut joined = rest
            .try_into_mut()
            .unwrap_or_else(|rest| BytesMut::from(&rest[..]));
        joined.extend_from_slice(&chunk);
        self.buffered = joined.freeze();
    }

    /// Returns the next item, or `None` if more bytes are needed.
    pub fn read(&mut self) -> Result<Option<Item<H>>> {
        if self.remaining > 0 {
            return Ok(self.take_payload().map(Item::Payload));
        }
        let Some(prefix) = self.buffered.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*prefix) as usize;
        if length > MAX_HEAD_BYTES {
            return Err(Error::HeadTooLong(length));
        }
        let Some(bytes) = self.buffered.get(LENGTH_BYTES..LENGTH_BYTES + length) else {
            return Ok(None);
        };
        let head = decode::<H>(bytes)?;
        self.remaining = head.payload() as usize;
        self.buffered = self.buffered.slice(LENGTH_BYTES + length..);
        Ok(Some(Item::Head(head)))
    }

    /// Returns whether all bytes so far belong to complete frames.
    pub fn is_at_frame_end(&self) -> bool {
        self.buffered.is_empty() && self.remaining == 0
    }

    /// Returns how many bytes of the current payload have not been returned yet.
    pub fn remaining_payload(&self) -> usize {
        self.remaining
    }

    fn take_payload(&mut self) -> Option<Bytes> {
        if self.buffered.is_empty() {
            return None;
        }
        let piece = self
            .buffered
            .split_to(self.remaining.min(self.buffered.len()));
        self.remaining -= piece.len();
        Some(piece)
    }
}

fn decode<H: Head>(bytes: &[u8]) -> Result<H> {
    let config = bincode::config::standard().with_limit::<MAX_HEAD_BYTES>();
    let (wire, used) = bincode::serde::decode_from_slice::<H::Wire, _>(bytes, config)
        .map_err(|_| Error::Malformed)?;
    if used != bytes.len() {
        return Err(Error::Malformed);
    }
    wire.try_into()
}
