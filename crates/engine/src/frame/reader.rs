//! Reads frames from a byte stream.

use super::{Error, HEAD_LIMIT, Head, LENGTH_BYTES, Result};
use bytes::{Bytes, BytesMut};
use std::marker::PhantomData;

/// What a reader found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Item<H> {
    /// A head.
    Head(H),
    /// A piece of the last head's payload.
    Payload(Bytes),
}

/// Cuts a byte stream into heads and pieces of payload.
#[derive(Debug)]
pub struct Reader<H> {
    rest: Bytes,
    payload: usize,
    head: PhantomData<H>,
}

impl<H> Default for Reader<H> {
    fn default() -> Self {
        Self {
            rest: Bytes::new(),
            payload: 0,
            head: PhantomData,
        }
    }
}

impl<H: Head> Reader<H> {
    /// Adds bytes as they came. All items are to be taken before the next bytes are added: then at
    /// most one unfinished head is held.
    pub fn push(&mut self, chunk: Bytes) {
        if self.rest.is_empty() {
            self.rest = chunk;
            return;
        }
        let rest = std::mem::take(&mut self.rest);
        let mut joined = rest
            .try_into_mut()
            .unwrap_or_else(|rest| BytesMut::from(&rest[..]));
        joined.extend_from_slice(&chunk);
        self.rest = joined.freeze();
    }

    /// The next item, or `None` when more bytes are needed.
    pub fn read(&mut self) -> Result<Option<Item<H>>> {
        if self.payload > 0 {
            return Ok(self.piece().map(Item::Payload));
        }
        let Some(prefix) = self.rest.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*prefix) as usize;
        if length > HEAD_LIMIT {
            return Err(Error::Long(length));
        }
        let Some(bytes) = self.rest.get(LENGTH_BYTES..LENGTH_BYTES + length) else {
            return Ok(None);
        };
        let head = decode::<H>(bytes)?;
        self.payload = head.payload() as usize;
        self.rest = self.rest.slice(LENGTH_BYTES + length..);
        Ok(Some(Item::Head(head)))
    }

    /// Whether the bytes so far end where a frame ends.
    pub fn is_between(&self) -> bool {
        self.rest.is_empty() && self.payload == 0
    }

    /// Bytes of the current payload that were not given out yet.
    pub fn missing(&self) -> usize {
        self.payload
    }

    fn piece(&mut self) -> Option<Bytes> {
        if self.rest.is_empty() {
            return None;
        }
        let piece = self.rest.split_to(self.payload.min(self.rest.len()));
        self.payload -= piece.len();
        Some(piece)
    }
}

fn decode<H: Head>(bytes: &[u8]) -> Result<H> {
    let config = bincode::config::standard().with_limit::<HEAD_LIMIT>();
    let (wire, used) =
        bincode::serde::decode_from_slice::<H::Wire, _>(bytes, config).map_err(|_| Error::Code)?;
    if used != bytes.len() {
        return Err(Error::Code);
    }
    wire.try_into()
}
