//! Bodies and answers of `POST /v1/completions`.

use super::error::{Error, Result};
use super::params::{Kind, Params, Raw, parse};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

#[derive(Deserialize)]
struct RawCompletion {
    #[serde(flatten)]
    shared: Raw,
    prompt: Option<RawPrompt>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum RawPrompt {
    One(String),
    Many(Vec<String>),
}

/// Parses and validates the body of a request.
pub fn read(body: &[u8]) -> Result<Params> {
    let raw: RawCompletion = parse(body)?;
    let prompt = prompt(raw.prompt)?;
    raw.shared.check(Kind::Text, Bytes::from(prompt))
}

fn prompt(raw: Option<RawPrompt>) -> Result<String> {
    let mut prompts = match raw {
        None => Vec::new(),
        Some(RawPrompt::One(prompt)) => vec![prompt],
        Some(RawPrompt::Many(prompts)) => prompts,
    };
    if prompts.len() > 1 {
        return Err(Error::invalid_value(
            "prompt",
            "only one prompt is supported",
        ));
    }
    let prompt = prompts.pop().filter(|p| !p.is_empty());
    prompt.ok_or_else(|| Error::invalid_value("prompt", "there is no prompt"))
}

/// The choice of an answer or of an event.
#[derive(Debug, Serialize)]
pub struct Choice<'a> {
    /// Always 0.
    pub index: u32,
    /// Text of the answer, or the addition of an event to it.
    pub text: &'a str,
    /// Reason for the end of the generation; `None` in events before the end.
    pub finish_reason: Option<&'static str>,
}
