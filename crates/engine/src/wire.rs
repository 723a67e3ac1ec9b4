//! Heads as they stand on the wire: unchecked, and of one shape for all engines.

use crate::frame::{self, Error, NAME_LIMIT, PAYLOAD_LIMIT, TEXT_LIMIT};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Longest wait a refusal can ask for.
const WAIT_LIMIT: Duration = Duration::from_secs(3600);

/// Place of a step.
#[derive(Debug, Serialize, Deserialize)]
pub struct Place {
    request: u128,
    attempt: u32,
    step: u32,
    from: u16,
    to: u16,
}

/// See [`frame::Open`].
#[derive(Debug, Serialize, Deserialize)]
pub struct Open {
    request: u128,
    attempt: u32,
    model: String,
    version: String,
    adapter: Option<String>,
    from: u16,
    to: u16,
    most: u32,
    seed: u64,
    rank: u32,
    prefix: Vec<u64>,
}

/// See [`frame::Input`].
#[derive(Debug, Serialize, Deserialize)]
pub enum Input {
    /// Prompt in the payload, then these tokens.
    Prompt(Vec<u32>),
    /// One token.
    Token(u32),
    /// Activations in the payload.
    Activations,
}

/// See [`frame::Call`].
#[derive(Debug, Serialize, Deserialize)]
pub enum Call {
    /// First frame.
    Open(Open),
    /// Later frames.
    Step(Place, Input, u32),
}

/// See [`frame::Reason`].
#[derive(Debug, Serialize, Deserialize)]
pub enum Reason {
    /// Full.
    Busy,
    /// Leaving.
    Leaving,
    /// Doesn't hold it.
    Unfit,
}

/// See [`frame::Reply`]; waits are in milliseconds.
#[derive(Debug, Serialize, Deserialize)]
pub enum Reply {
    /// Slot reserved.
    Opened(u128, u32),
    /// Slot refused.
    Refused(Reason, Option<u64>),
    /// Step runs.
    Working(Place),
    /// Step ran: prompt tokens, payload bytes.
    Done(Place, u32, u32),
    /// Step ran: prompt tokens, token, text, end.
    Token(Place, u32, u32, String, bool),
    /// Step failed.
    Failed(Place),
}

impl From<frame::Place> for Place {
    fn from(place: frame::Place) -> Self {
        let frame::Place {
            request,
            attempt,
            step,
            from,
            to,
        } = place;
        Self {
            request,
            attempt,
            step,
            from,
            to,
        }
    }
}

impl TryFrom<Place> for frame::Place {
    type Error = Error;

    fn try_from(place: Place) -> Result<Self, Error> {
        let Place {
            request,
            attempt,
            step,
            from,
            to,
        } = place;
        check(attempt > 0, "attempt")?;
        check(step > 0, "step")?;
        check(from < to, "to")?;
        Ok(Self {
            request,
            attempt,
            step,
            from,
            to,
        })
    }
}

impl From<&frame::Open> for Open {
    fn from(open: &frame::Open) -> Self {
        let frame::Open {
            request,
            attempt,
            model,
            version,
            adapter,
            ..
        } = open.clone();
        let frame::Open {
            from,
            to,
            most,
            seed,
            rank,
            prefix,
            ..
        } = open.clone();
        Self {
            request,
            attempt,
            model,
            version,
            adapter,
            from,
            to,
            most,
            seed,
            rank,
            prefix,
        }
    }
}

impl TryFrom<Open> for frame::Open {
    type Error = Error;

    fn try_from(open: Open) -> Result<Self, Error> {
        let Open {
            request,
            attempt,
            model,
            version,
            adapter,
            ..
        } = open;
        let Open {
            from,
            to,
            most,
            seed,
            rank,
            prefix,
            ..
        } = open;
        check(attempt > 0, "attempt")?;
        check(from < to, "to")?;
        check(is_name(&model), "model")?;
        check(is_name(&version), "version")?;
        check(adapter.as_deref().is_none_or(is_name), "adapter")?;
        Ok(Self {
            request,
            attempt,
            model,
            version,
            adapter,
            from,
            to,
            most,
            seed,
            rank,
            prefix,
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
        frame::Input::Prompt(_) => payload <= PAYLOAD_LIMIT,
        frame::Input::Token(_) => payload == 0,
        frame::Input::Activations => (1..=PAYLOAD_LIMIT).contains(&payload),
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

impl From<frame::Reason> for Reason {
    fn from(reason: frame::Reason) -> Self {
        match reason {
            frame::Reason::Busy => Self::Busy,
            frame::Reason::Leaving => Self::Leaving,
            frame::Reason::Unfit => Self::Unfit,
        }
    }
}

impl From<Reason> for frame::Reason {
    fn from(reason: Reason) -> Self {
        match reason {
            Reason::Busy => Self::Busy,
            Reason::Leaving => Self::Leaving,
            Reason::Unfit => Self::Unfit,
        }
    }
}

impl From<&frame::Reply> for Reply {
    fn from(reply: &frame::Reply) -> Self {
        match reply {
            frame::Reply::Opened(request, attempt) => Self::Opened(*request, *attempt),
            frame::Reply::Refused(reason, wait) => {
                Self::Refused((*reason).into(), wait.map(|w| w.as_millis() as u64))
            }
            frame::Reply::Working(place) => Self::Working((*place).into()),
            frame::Reply::Done {
                place,
                prompt_tokens,
                payload,
            } => Self::Done((*place).into(), *prompt_tokens, *payload),
            frame::Reply::Token {
                place,
                prompt_tokens,
                id,
                text,
                end,
            } => Self::Token((*place).into(), *prompt_tokens, *id, text.clone(), *end),
            frame::Reply::Failed(place) => Self::Failed((*place).into()),
        }
    }
}

impl TryFrom<Reply> for frame::Reply {
    type Error = Error;

    fn try_from(reply: Reply) -> Result<Self, Error> {
        Ok(match reply {
            Reply::Opened(request, attempt) => Self::Opened(request, attempt),
            Reply::Refused(reason, wait) => {
                let wait = wait.map(|w| Duration::from_millis(w).min(WAIT_LIMIT));
                Self::Refused(reason.into(), wait)
            }
            Reply::Working(place) => Self::Working(place.try_into()?),
            Reply::Done(place, prompt_tokens, payload) => {
                check((1..=PAYLOAD_LIMIT).contains(&payload), "payload")?;
                Self::Done {
                    place: place.try_into()?,
                    prompt_tokens,
                    payload,
                }
            }
            Reply::Token(place, prompt_tokens, id, text, end) => {
                check(text.len() <= TEXT_LIMIT, "text")?;
                Self::Token {
                    place: place.try_into()?,
                    prompt_tokens,
                    id,
                    text,
                    end,
                }
            }
            Reply::Failed(place) => Self::Failed(place.try_into()?),
        })
    }
}

fn is_name(name: &str) -> bool {
    (1..=NAME_LIMIT).contains(&name.len())
}

fn check(fits: bool, field: &'static str) -> Result<(), Error> {
    if fits {
        Ok(())
    } else {
        Err(Error::Field(field))
    }
}
