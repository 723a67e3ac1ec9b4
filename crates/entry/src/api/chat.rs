//! Bodies and answers of `POST /v1/chat/completions`.

use super::error::{Error, Result};
use super::params::{Kind, Params, Raw, parse};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::fmt::Write;

/// Maximum number of messages in a request.
const MAX_MESSAGES: usize = 4096;
/// Supported roles of a message.
const ROLES: [&str; 4] = ["system", "developer", "user", "assistant"];

#[derive(Deserialize)]
struct RawChat {
    #[serde(flatten)]
    shared: Raw,
    messages: Option<Vec<RawMessage>>,
}

#[derive(Deserialize)]
struct RawMessage {
    role: String,
    content: Option<RawContent>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum RawContent {
    Text(String),
    Parts(Vec<RawPart>),
}

#[derive(Deserialize)]
struct RawPart {
    r#type: String,
    text: Option<String>,
}

/// Parses and validates the body of a request.
pub fn read(body: &[u8]) -> Result<Params> {
    let raw: RawChat = parse(body)?;
    let messages = raw.messages.unwrap_or_default();
    if messages.is_empty() {
        return Err(Error::invalid_value("messages", "there is no message"));
    }
    if messages.len() > MAX_MESSAGES {
        return Err(Error::invalid_value(
            "messages",
            format!("more than {MAX_MESSAGES} messages"),
        ));
    }
    let prompt = prompt(messages)?;
    raw.shared.check(Kind::Chat, prompt)
}

/// Builds the prompt: for each message a line with its role and then its text, and at the end the
/// line with the assistant's role.
fn prompt(messages: Vec<RawMessage>) -> Result<Bytes> {
    let mut prompt = String::new();
    for (i, message) in messages.into_iter().enumerate() {
        let path = format!("messages[{i}]");
        if !ROLES.contains(&message.role.as_str()) {
            let text = format!("role {:?} is not supported", message.role);
            return Err(Error::invalid_value(&format!("{path}.role"), text));
        }
        let text = text(message.content, &path)?;
        let _ = write!(prompt, "<|{}|>\n{text}\n", message.role);
    }
    prompt.push_str("<|assistant|>\n");
    Ok(Bytes::from(prompt))
}

fn text(content: Option<RawContent>, path: &str) -> Result<String> {
    match content {
        None => Err(Error::invalid_value(
            &format!("{path}.content"),
            "there is no content",
        )),
        Some(RawContent::Text(text)) => Ok(text),
        Some(RawContent::Parts(parts)) => join(parts, path),
    }
}

fn join(parts: Vec<RawPart>, path: &str) -> Result<String> {
    let mut joined = String::new();
    for (i, part) in parts.into_iter().enumerate() {
        match (part.r#type.as_str(), part.text) {
            ("text", Some(text)) => joined.push_str(&text),
            _ => {
                let path = format!("{path}.content[{i}]");
                return Err(Error::invalid_value(
                    &path,
                    "only parts of type text are supported",
                ));
            }
        }
    }
    Ok(joined)
}

/// The body of an answer that is not streamed.
#[derive(Debug, Serialize)]
pub struct Answer<'a> {
    /// Id of the answer.
    pub id: &'a str,
    /// Object type.
    pub object: &'static str,
    /// Unix time of its creation, in seconds.
    pub created: u64,
    /// Model, as named by the caller.
    pub model: &'a str,
    /// The only choice.
    pub choices: [Choice<'a>; 1],
    /// Number of tokens used.
    pub usage: Usage,
}

/// The choice of an answer that is not streamed.
#[derive(Debug, Serialize)]
pub struct Choice<'a> {
    /// Always 0.
    pub index: u32,
    /// The generated message.
    pub message: Message<'a>,
    /// Reason for the end of the generation: `stop` or `length`.
    pub finish_reason: &'static str,
}

/// The message of an answer that is not streamed.
#[derive(Debug, Serialize)]
pub struct Message<'a> {
    /// Always `assistant`.
    pub role: &'static str,
    /// Text of the message.
    pub content: &'a str,
}

/// Number of tokens used by a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Usage {
    /// Number of tokens of the prompt. It is the first stage's count, or an estimate if a stop
    /// sequence ended the answer.
    pub prompt_tokens: u32,
    /// Number of tokens generated.
    pub completion_tokens: u32,
    /// Sum of the two, saturating.
    pub total_tokens: u32,
}

impl Usage {
    /// Creates the usage of a request.
    pub fn new(prompt: u32, completion: u32) -> Self {
        Self {
            prompt_tokens: prompt,
            completion_tokens: completion,
            total_tokens: prompt.saturating_add(completion),
        }
    }
}

/// The choice of an event of a streamed answer.
#[derive(Debug, Serialize)]
pub struct ChunkChoice<'a> {
    /// Always 0.
    pub index: u32,
    /// Addition to the message.
    pub delta: Delta<'a>,
    /// Reason for the end of the generation, in the last event with a choice.
    pub finish_reason: Option<&'static str>,
}

/// The addition of one event to the message.
#[derive(Debug, Default, Serialize)]
pub struct Delta<'a> {
    /// Role, in the first event.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub role: Option<&'static str>,
    /// Text to append.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub content: Option<&'a str>,
}
