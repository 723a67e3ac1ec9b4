//! Validated frames of the stage protocol.
//!
//! A frame is a head and, for some heads, a payload whose length the head states. The head is a
//! big-endian `u32` length followed by that many bytes of bincode; the payload follows as raw
//! bytes. Payloads hold activations or a prompt and are opaque. A reader returns a payload in
//! chunks as they arrive, so that a relay never holds a complete frame in memory.

mod reader;

pub use reader::{Item, Reader};

use crate::wire;
use bytes::{BufMut, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt;
use std::time::Duration;

/// Maximum length of a head in bytes.
pub const MAX_HEAD_BYTES: usize = 1 << 20;
/// Maximum length of a payload in bytes.
pub const MAX_PAYLOAD_BYTES: u32 = 1 << 30;
/// Maximum length of the name of a model, version or adapter in bytes.
pub const MAX_NAME_BYTES: usize = 256;
/// Maximum length of a token's text in bytes.
pub const MAX_TEXT_BYTES: usize = 1024;

/// Size of the length prefix of a head.
const LENGTH_BYTES: usize = 4;

/// Identifies a step of an attempt and the layers that a stage runs in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Identifier of the request.
    pub request: u128,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Number of the step within the attempt, from 1. Step 1 is the prefill.
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

/// Requests a slot from a stage. No layer runs yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Open {
    /// Identifier of the request.
    pub request: u128,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Name of the model.
    pub model: String,
    /// Version of the model's weights.
    pub version: String,
    /// Name of the adapter, if any.
    pub adapter: Option<String>,
    /// First layer that the stage runs.
    pub from: u16,
    /// One past the last layer.
    pub to: u16,
    /// Maximum number of tokens of the answer.
    pub max_tokens: u32,
    /// Sampling seed.
    pub seed: u64,
    /// Priority rank; 0 is the most urgent.
    pub priority: u32,
    /// Chained hashes of the prompt's blocks, computed by [`crate::prefix::block_hashes`].
    pub prefix: Vec<u64>,
}

/// Input of a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Prefill at the first stage: the payload is the prompt, and these tokens follow it.
    Prompt(Vec<u32>),
    /// Decode at the first stage: the token that the previous step generated.
    Token(u32),
    /// At a later stage: the payload holds the activations of the previous stage.
    Activations,
}

/// Requests that a stage run its layers once, for all positions of the input.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// Place of the step.
    pub place: Place,
    /// Input of the step.
    pub input: Input,
    /// Length of the payload that follows, in bytes.
    pub payload: u32,
}

/// Head of a frame that is sent to a stage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// First frame of a stream.
    Open(Open),
    /// Every later frame of a stream.
    Step(Step),
}

/// Reason why a stage refuses a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// No slot is free.
    Busy,
    /// The stage is leaving the fleet.
    Leaving,
    /// The stage doesn't hold the requested model, version, adapter or layers.
    Unfit,
}

/// Head of a frame that a stage sends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The slot is reserved for this request and attempt.
    Opened(u128, u32),
    /// The slot is refused, with the retry-after delay if the stage states one. No layer ran and no
    /// slot is reserved.
    Refused(Reason, Option<Duration>),
    /// The step is still running.
    Working(Place),
    /// The stage's layers ran; the payload holds their activations.
    Done {
        /// Place of the step.
        place: Place,
        /// Number of tokens of the prompt; set by a prefill.
        prompt_tokens: u32,
        /// Length of the payload that follows, in bytes.
        payload: u32,
    },
    /// The stage's layers ran, including the model's last layer, and generated a token.
    Token {
        /// Place of the step.
        place: Place,
        /// Number of tokens of the prompt; set by a prefill.
        prompt_tokens: u32,
        /// Number of the token in the vocabulary.
        id: u32,
        /// Text of the token.
        text: String,
        /// Whether the token ends the answer.
        end: bool,
    },
    /// The step could not be computed.
    Failed(Place),
}

/// A head of a frame that can be serialized.
pub trait Head: Sized {
    /// Serialized form of the head.
    type Wire: Serialize + DeserializeOwned + for<'a> From<&'a Self> + TryInto<Self, Error = Error>;

    /// Returns the length in bytes of the payload that follows the head.
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

/// Error of encoding or decoding a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The head is longer than [`MAX_HEAD_BYTES`].
    HeadTooLong(usize),
    /// The head can't be encoded or decoded as bincode of its type, or bytes are left over.
    Malformed,
    /// The named field is out of range.
    FieldOutOfRange(&'static str),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::HeadTooLong(n) => write!(
                f,
                "frame head of {n} bytes exceeds the limit of {MAX_HEAD_BYTES}"
            ),
            Self::Malformed => f.write_str("malformed frame head"),
            Self::FieldOutOfRange(name) => {
                write!(f, "field {name} of the frame head is out of range")
            }
        }
    }
}

impl std::error::Error for Error {}

/// Result of reading frames.
pub type Result<T> = std::result::Result<T, Error>;

/// Appends the encoded head to `buf`. The caller sends the payload after it.
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
