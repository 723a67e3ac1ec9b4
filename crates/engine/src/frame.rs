//! Frames of the stage protocol, checked.
//!
//! A frame is a head and, for some heads, a payload of as many bytes as the head says. The head is
//! a big-endian `u32` length and that many bytes of bincode; the payload follows raw. Payloads are
//! activations or a prompt: they are opaque, and a reader hands them on piece by piece, so that a
//! relay holds no whole frame in memory.

mod reader;

pub use reader::{Item, Reader};

use crate::wire;
use bytes::{BufMut, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt;
use std::time::Duration;

/// Longest head in bytes.
pub const MAX_HEAD_BYTES: usize = 1 << 20;
/// Longest payload in bytes.
pub const MAX_PAYLOAD_BYTES: u32 = 1 << 30;
/// Longest name of a model, version or adapter in bytes.
pub const MAX_NAME_BYTES: usize = 256;
/// Longest text of a token in bytes.
pub const MAX_TEXT_BYTES: usize = 1024;

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
    pub max_tokens: u32,
    /// Seed of the draws.
    pub seed: u64,
    /// Rank of the priority; 0 is the most urgent.
    pub priority: u32,
    /// Chained hashes of the prompt's blocks, as [`crate::prefix::block_hashes`] gives them.
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
    /// The head is longer than [`MAX_HEAD_BYTES`].
    HeadTooLong(usize),
    /// The head's bytes are no bincode of its type, or some are left over.
    Malformed,
    /// A field is out of its range; names the field.
    FieldOutOfRange(&'static str),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::HeadTooLong(n) => write!(f, "head of {n} bytes is over {MAX_HEAD_BYTES}"),
            Self::Malformed => f.write_str("head is not of its type"),
            Self::FieldOutOfRange(name) => write!(f, "field {name} is out of range"),
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
        .map_err(|_| Error::Malformed)?;
    let length = buf.len() - start - LENGTH_BYTES;
    if length > MAX_HEAD_BYTES {
        buf.truncate(start);
        return Err(Error::HeadTooLong(length));
    }
    let prefix = (length as u32).to_be_bytes();
    buf[start..start + LENGTH_BYTES].copy_from_slice(&prefix);
    Ok(())
}
