//! Validated parameters of a chat or text completion.

use super::error::{Error, Result};
use bytes::Bytes;
use http::StatusCode;

/// Assumed bytes of prompt per token, for the estimate of the prompt's tokens.
const BYTES_PER_TOKEN: usize = 4;
/// Maximum number of stop sequences in a request.
const MAX_STOP_SEQUENCES: usize = 4;
/// Maximum length of a stop sequence, in bytes.
const MAX_STOP_BYTES: usize = 256;

/// The API that a caller uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// `POST /v1/chat/completions`.
    Chat,
    /// `POST /v1/completions`.
    Text,
}

impl Kind {
    /// Name of the body's field that contains the prompt.
    pub fn prompt_field(self) -> &'static str {
        match self {
            Self::Chat => "messages",
            Self::Text => "prompt",
        }
    }
}

/// Parameters of a completion, validated without the bundle: the model may not exist.
#[derive(Clone, Debug, PartialEq)]
pub struct Params {
    /// API that was called.
    pub kind: Kind,
    /// Model, as named by the caller: `model` or `model:adapter`.
    pub model: String,
    /// Text of the prompt, which the first stage tokenises.
    pub prompt: Bytes,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Whether a streamed answer ends with a usage event.
    pub include_usage: bool,
    /// Maximum number of tokens to generate, if set.
    pub max_tokens: Option<u32>,
    /// Sampling seed.
    pub seed: u64,
    /// Stop sequences. The answer ends before the first one.
    pub stops: Vec<String>,
}

impl Params {
    /// Estimates the number of tokens of the prompt. The engines report the exact number at the end
    /// of the answer.
    pub fn prompt_tokens(&self) -> u32 {
        u32::try_from(self.prompt.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
    }
}

/// Fields of the body that both APIs share, not yet validated.
#[derive(Clone, Debug, Default, serde::Deserialize)]
pub struct Raw {
    model: Option<String>,
    stream: Option<bool>,
    stream_options: Option<RawStream>,
    max_tokens: Option<i64>,
    max_completion_tokens: Option<i64>,
    seed: Option<i64>,
    n: Option<i64>,
    stop: Option<RawStop>,
    logprobs: Option<serde_json::Value>,
    tools: Option<serde_json::Value>,
    functions: Option<serde_json::Value>,
    response_format: Option<serde_json::Value>,
    best_of: Option<i64>,
    echo: Option<bool>,
    suffix: Option<String>,
}

#[derive(Clone, Debug, Default, serde::Deserialize)]
struct RawStream {
    include_usage: Option<bool>,
}

#[derive(Clone, Debug, serde::Deserialize)]
#[serde(untagged)]
enum RawStop {
    One(String),
    Many(Vec<String>),
}

impl Raw {
    /// Validates the shared fields and combines them with the prompt.
    pub fn check(self, kind: Kind, prompt: Bytes) -> Result<Params> {
        self.refuse_unsupported()?;
        let max_tokens = self.validated_max_tokens()?;
        let stops = stops(self.stop)?;
        let model = self
            .model
            .filter(|m| !m.is_empty())
            .ok_or_else(|| Error::invalid_value("model", "no model is named"))?;
        Ok(Params {
            kind,
            model,
            prompt,
            stream: self.stream.unwrap_or(false),
            include_usage: self
                .stream_options
                .and_then(|o| o.include_usage)
                .unwrap_or(false),
            max_tokens,
            seed: self.seed.unwrap_or(0) as u64,
            stops,
        })
    }

    /// Rejects options that the engines do not support. If they were ignored, the answer would
    /// differ from the requested one without notice.
    fn refuse_unsupported(&self) -> Result<()> {
        let options = [
            ("n", self.n.is_some_and(|n| n != 1)),
            ("best_of", self.best_of.is_some_and(|n| n != 1)),
            ("logprobs", is_requested(&self.logprobs)),
            ("tools", is_requested(&self.tools)),
            ("functions", is_requested(&self.functions)),
            ("response_format", requests_format(&self.response_format)),
            ("echo", self.echo == Some(true)),
            ("suffix", self.suffix.is_some()),
        ];
        match options.iter().find(|(_, given)| *given) {
            None => Ok(()),
            Some((param, _)) => Err(Error::invalid_value(
                param,
                format!("{param} is not supported"),
            )),
        }
    }

    fn validated_max_tokens(&self) -> Result<Option<u32>> {
        let (param, value) = match (self.max_completion_tokens, self.max_tokens) {
            (Some(max), _) => ("max_completion_tokens", max),
            (None, Some(max)) => ("max_tokens", max),
            (None, None) => return Ok(None),
        };
        match u32::try_from(value) {
            Ok(max) if max > 0 => Ok(Some(max)),
            _ => Err(Error::invalid_value(
                param,
                format!("the number of tokens must be from 1 to {}", u32::MAX),
            )),
        }
    }
}

fn is_requested(value: &Option<serde_json::Value>) -> bool {
    use serde_json::Value;
    match value {
        None | Some(Value::Null | Value::Bool(false)) => false,
        Some(Value::Array(list)) => !list.is_empty(),
        Some(_) => true,
    }
}

fn requests_format(value: &Option<serde_json::Value>) -> bool {
    value
        .as_ref()
        .is_some_and(|v| v.get("type").and_then(|t| t.as_str()) != Some("text"))
}

fn stops(raw: Option<RawStop>) -> Result<Vec<String>> {
    let stops = match raw {
        None => Vec::new(),
        Some(RawStop::One(stop)) => vec![stop],
        Some(RawStop::Many(stops)) => stops,
    };
    if stops.len() > MAX_STOP_SEQUENCES {
        return Err(Error::invalid_value(
            "stop",
            format!("more than {MAX_STOP_SEQUENCES} stop sequences"),
        ));
    }
    if stops
        .iter()
        .any(|s| s.is_empty() || s.len() > MAX_STOP_BYTES)
    {
        let message = format!("a stop sequence is empty or longer than {MAX_STOP_BYTES} bytes");
        return Err(Error::invalid_value("stop", message));
    }
    Ok(stops)
}

/// Parses `body`. Wrong types are `invalid_type`, status 422; malformed JSON and JSON nested too
/// deeply are `invalid_json`, status 400.
pub fn parse<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|error| {
        let message = format!("the body can't be read: {error}");
        if error.is_data() {
            Error::new(StatusCode::UNPROCESSABLE_ENTITY, "invalid_type", message)
        } else {
            Error::new(StatusCode::BAD_REQUEST, "invalid_json", message)
        }
    })
}
