//! Frames of the stage protocol, checked.
//!
//! A frame is a head and, for some heads, a payload of as many bytes as the head says. The head is
//! a big-endian `u32` length and that many bytes of bincode; the payload follows raw. Payloads are
//! activations or a prompt: they are opaque, and a reader hands them on piece by piece, so that a
//! relay holds no whole frame in memory.

use crate::wire;
use bytes::{BufMut, Bytes, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt;
use std::marker::PhantomData;
use std::time::Duration;

/// Longest head in bytes.
pub const HEAD_LIMIT: usize = 1 << 20;
/// Longest payload in bytes.
pub const PAYLOAD_LIMIT: u32 = 1 << 30;
/// Longest name of a model, version or adapter in bytes.
pub const NAME_LIMIT: usize = 256;
/// Longest text of a token in bytes.
pub const TEXT_LIMIT: usize = 1024;

const LENGTH_BYTES: usize = 4;

/// Where in a request's work a step belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// The request.
    pub request: u128,
    /// Its attempt, from 1.
    pub attempt: u32,
    /// The attempt's step, from 1; the first one is the prefill.
    pub step: u32,
    /// First layer.
    pub from: u16,
    /// One past the last layer.
    pub to: u16,
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            request,
            attempt,
            step,
            from,
            to,
        } = self;
        write!(f, "{request:x}/{attempt} step {step} layers {from}..{to}")
    }
}

/// Asks a stage for a slot; nothing runs yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Open {
    /// The request.
    pub request: u128,
    /// Its attempt.
    pub attempt: u32,
    /// Model.
    pub model: String,
    /// Version of its weights.
    pub version: String,
    /// Adapter, if any.
    pub adapter: Option<String>,
    /// First layer the stage is to run.
    pub from: u16,
    /// One past the last layer.
    pub to: u16,
    /// Most tokens the answer may have.
    pub most: u32,
    /// Seed of the draws.
    pub seed: u64,
    /// Rank of the priority; 0 is the most urgent.
    pub rank: u32,
    /// Chained hashes of the prompt's blocks, as [`crate::prefix::chain`] gives them.
    pub prefix: Vec<u64>,
}

/// What a step starts from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Prefill at the first stage: the payload is the prompt, these tokens follow it.
    Prompt(Vec<u32>),
    /// The token made by the step before, at the first stage.
    Token(u32),
    /// The payload is the activations that the stage before gave.
    Activations,
}

/// Asks a stage to run its layers once, for all positions of the input.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// Where it belongs.
    pub place: Place,
    /// What it starts from.
    pub input: Input,
    /// Bytes of payload that follow.
    pub payload: u32,
}

/// A frame to a stage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// First frame of a stream.
    Open(Open),
    /// Each frame after it.
    Step(Step),
}

/// Why a stage takes no work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// No slot is free.
    Busy,
    /// It leaves.
    Leaving,
    /// It doesn't hold this model, version, adapter or layers.
    Unfit,
}

/// A frame from a stage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The slot is reserved for this request and attempt.
    Opened(u128, u32),
    /// The slot is refused: nothing ran, nothing is reserved.
    Refused(Reason, Option<Duration>),
    /// The step still runs.
    Working(Place),
    /// The layers ran; the payload is the activations after them.
    Done {
        /// The step's place.
        place: Place,
        /// Tokens of the prompt, at a prefill.
        prompt_tokens: u32,
        /// Bytes of payload that follow.
        payload: u32,
    },
    /// The layers ran, the model's last among them.
    Token {
        /// The step's place.
        place: Place,
        /// Tokens of the prompt, at a prefill.
        prompt_tokens: u32,
        /// The token made.
        id: u32,
        /// Its text.
        text: String,
        /// Whether it ends the answer.
        end: bool,
    },
    /// The step could not be computed.
    Failed(Place),
}

/// A head that can be put on the wire.
pub trait Head: Sized {
    /// Its form on the wire.
    type Wire: Serialize + DeserializeOwned + for<'a> From<&'a Self> + TryInto<Self, Error = Error>;

    /// Bytes of payload that follow it.
    fn payload(&self) -> u32;
}

impl Head for Call {
    type Wire = wire::Call;

    fn payload(&self) -> u32 {
        match self {
            Self::Open(_) => 0,
            Self::Step(step) => step.payload,
        }
    }
}

impl Head for Reply {
    type Wire = wire::Reply;

    fn payload(&self) -> u32 {
        match self {
            Self::Done { payload, .. } => *payload,
            _ => 0,
        }
    }
}

/// Why bytes are no frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The head is longer than [`HEAD_LIMIT`].
    Long(usize),
    /// The head's bytes are no bincode of its type, or some are left over.
    Code,
    /// A field is out of its range; names the field.
    Field(&'static str),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Long(n) => write!(f, "head of {n} bytes is over {HEAD_LIMIT}"),
            Self::Code => f.write_str("head is not of its type"),
            Self::Field(name) => write!(f, "field {name} is out of range"),
        }
    }
}

impl std::error::Error for Error {}

/// Result of reading frames.
pub type Result<T> = std::result::Result<T, Error>;

/// Appends the head's bytes; the caller sends the payload after them.
pub fn encode<H: Head>(head: &H, buf: &mut BytesMut) -> Result<()> {
    let start = buf.len();
    buf.put_u32(0);
    let wire = H::Wire::from(head);
    let config = bincode::config::standard();
    bincode::serde::encode_into_std_write(&wire, &mut buf.writer(), config)
        .map_err(|_| Error::Code)?;
    let length = buf.len() - start - LENGTH_BYTES;
    if length > HEAD_LIMIT {
        buf.truncate(start);
        return Err(Error::Long(length));
    }
    let prefix = (length as u32).to_be_bytes();
    buf[start..start + LENGTH_BYTES].copy_from_slice(&prefix);
    Ok(())
}

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
