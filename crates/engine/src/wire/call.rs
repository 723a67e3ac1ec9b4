//! Serialized heads of frames that are sent to a stage.

use super::{Place, check, is_name};
use crate::frame::{self, Error, MAX_PAYLOAD_BYTES};
use serde::{Deserialize, Serialize};

/// Serialized form of [`frame::Open`].
#[derive(Debug, Serialize, Deserialize)]
pub struct Open {
    request: u128,
    attempt: u32,
    model: String,
    version: String,
    adapter: Option<String>,
    from: u16,
    to: u16,
    #[serde(rename = "most")]
    max_tokens: u32,
    seed: u64,
    #[serde(rename = "rank")]
    priority: u32,
    prefix: Vec<u64>,
}

/// Serialized form of [`frame::Input`].
#[derive(Debug, Serialize, Deserialize)]
pub enum Input {
    /// The prompt is the payload; these tokens follow it.
    Prompt(Vec<u32>),
    /// The token that the previous step generated.
    Token(u32),
    /// The payload holds activations.
    Activations,
}

/// Serialized form of [`frame::Call`].
#[derive(Debug, Serialize, Deserialize)]
pub enum Call {
    /// First frame of a stream.
    Open(Open),
    /// Every later frame: the place of the step, its input and its payload length in bytes.
    Step(Place, Input, u32),
}

impl From<&frame::Open> for Open {
    fn from(open: &frame::Open) -> Self {
        Self {
            request: open.request,
            attempt: open.attempt,
            model: open.model.clone(),
            version: open.version.clone(),
            adapter: open.adapter.clone(),
            from: open.from,
            to: open.to,
            max_tokens: open.max_tokens,
            seed: open.seed,
            priority: open.priority,
            prefix: open.prefix.clone(),
        }
    }
}

impl TryFrom<Open> for frame::Open {
    type Error = Error;

    fn try_from(open: Open) -> Result<Self, Error> {
        check(open.attempt > 0, "attempt")?;
        check(open.from < open.to, "to")?;
        check(is_name(&open.model), "model")?;
        check(is_name(&open.version), "version")?;
        check(open.adapter.as_deref().is_none_or(is_name), "adapter")?;
        Ok(Self {
            request: open.request,
            attempt: open.attempt,
            model: open.model,
            version: open.version,
            adapter: open.adapter,
            from: open.from,
            to: open.to,
            max_tokens: open.max_tokens,
            seed: open.seed,
            priority: open.priority,
            prefix: open.prefix,
        })
    }
}

impl From<&frame::Input> for Input {
    fn from(input: &frame::Input) -> Self {
        match input {
            frame::Input::Prompt(tokens) => Self::Prompt(tokens.clone()),
            frame::Input::Token(id) => Self::Token(*id),
            frame::Input::Activations => Self::Activations,
        }
    }
}

impl From<Input> for frame::Input {
    fn from(input: Input) -> Self {
        match input {
            Input::Prompt(tokens) => Self::Prompt(tokens),
            Input::Token(id) => Self::Token(id),
            Input::Activations => Self::Activations,
        }
    }
}

impl From<&frame::Call> for Call {
    fn from(call: &frame::Call) -> Self {
        match call {
            frame::Call::Open(open) => Self::Open(open.into()),
            frame::Call::Step(step) => {
                Self::Step(step.place.into(), (&step.input).into(), step.payload)
            }
        }
    }
}

impl TryFrom<Call> for frame::Call {
    type Error = Error;

    fn try_from(call: Call) -> Result<Self, Error> {
        match call {
            Call::Open(open) => open.try_into().map(Self::Open),
            Call::Step(place, input, payload) => step(place, input, payload).map(Self::Step),
        }
    }
}

fn step(place: Place, input: Input, payload: u32) -> Result<frame::Step, Error> {
    let place = frame::Place::try_from(place)?;
    let input = frame::Input::from(input);
    let fits = match input {
        frame::Input::Prompt(_) => payload <= MAX_PAYLOAD_BYTES,
        frame::Input::Token(_) => payload == 0,
        frame::Input::Activations => (1..=MAX_PAYLOAD_BYTES).contains(&payload),
    };
    check(fits, "payload")?;
    let is_first = !matches!(input, frame::Input::Activations);
    check(is_first == (place.from == 0), "input")?;
    Ok(frame::Step {
        place,
        input,
        payload,
    })
}
