//! Serialized heads of frames that a stage sends.

use super::{Place, check};
use crate::frame::{self, Error, MAX_PAYLOAD_BYTES, MAX_TEXT_BYTES};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Maximum retry-after delay of a refusal. A longer delay is reduced to this one.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3600);

/// Serialized form of [`frame::Reason`].
#[derive(Debug, Serialize, Deserialize)]
pub enum Reason {
    /// No slot is free.
    Busy,
    /// The stage is leaving the fleet.
    Leaving,
    /// The stage doesn't hold the requested model, version, adapter or layers.
    Unfit,
}

/// Serialized form of [`frame::Reply`]. Retry-after delays are in milliseconds.
#[derive(Debug, Serialize, Deserialize)]
pub enum Reply {
    /// The slot is reserved for this request and attempt.
    Opened(u128, u32),
    /// The slot is refused: the reason and the retry-after delay.
    Refused(Reason, Option<u64>),
    /// The step is still running.
    Working(Place),
    /// The step completed: its place, prompt tokens and payload length in bytes.
    Done(Place, u32, u32),
    /// The step generated a token: its place, prompt tokens, the token, its text, and whether it
    /// ends the answer.
    Token(Place, u32, u32, String, bool),
    /// The step failed.
    Failed(Place),
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
                let wait = wait.map(|w| Duration::from_millis(w).min(MAX_RETRY_AFTER));
                Self::Refused(reason.into(), wait)
            }
            Reply::Working(place) => Self::Working(place.try_into()?),
            Reply::Done(place, prompt_tokens, payload) => {
                check((1..=MAX_PAYLOAD_BYTES).contains(&payload), "payload")?;
                Self::Done {
                    place: place.try_into()?,
                    prompt_tokens,
                    payload,
                }
            }
            Reply::Token(place, prompt_tokens, id, text, end) => {
                check(text.len() <= MAX_TEXT_BYTES, "text")?;
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
