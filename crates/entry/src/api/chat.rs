//! Bodies and answers of `POST /v1/chat/completions`.

use super::error::{Error, Result};
use super::params::{Kind, Params, Raw, parse};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::fmt::Write;

/// Most messages in one request.
const MAX_MESSAGES: usize = 4096;
/// Roles that a message may have.
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

/// Reads and checks a body.
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

/// The prompt that the messages make: a line with the role, then the text, for each; then the
/// role that is to speak.
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

/// A whole answer.
#[derive(Debug, Serialize)]
pub struct Answer<'a> {
    /// Id of the answer.
    pub id: &'a str,
    /// Kind of object.
    pub object: &'static str,
    /// Unix time of its making.
    pub created: u64,
    /// Model, as named by the caller.
    pub model: &'a str,
    /// The one choice.
    pub choices: [Choice<'a>; 1],
    /// Tokens used.
    pub usage: Usage,
}

/// The choice of a whole answer.
#[derive(Debug, Serialize)]
pub struct Choice<'a> {
    /// Always 0.
    pub index: u32,
    /// The message.
    pub message: Message<'a>,
    /// Why it ended: `stop` or `length`.
    pub finish_reason: &'static str,
}

/// The message of a whole answer.
#[derive(Debug, Serialize)]
pub struct Message<'a> {
    /// Always `assistant`.
    pub role: &'static str,
    /// Its text.
    pub content: &'a str,
}

/// Tokens used by a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Usage {
    /// Tokens of the prompt, as counted by the first stage.
    pub prompt_tokens: u32,
    /// Tokens generated.
    pub completion_tokens: u32,
    /// Their sum.
    pub total_tokens: u32,
}

impl Usage {
    /// Usage of a request.
    pub fn new(prompt: u32, completion: u32) -> Self {
        Self {
            prompt_tokens: prompt,
            completion_tokens: completion,
            total_tokens: prompt.saturating_add(completion),
        }
    }
}

/// The choice of an event.
#[derive(Debug, Serialize)]
pub struct ChunkChoice<'a> {
    /// Always 0.
    pub index: u32,
    /// What is added to the message.
    pub delta: Delta<'a>,
    /// Why it ended, in the last one.
    pub finish_reason: Option<&'static str>,
}

/// What an event adds to the message.
#[derive(Debug, Default, Serialize)]
pub struct Delta<'a> {
    /// Role, in the first one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub role: Option<&'static str>,
    /// Text.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub content: Option<&'a str>,
}
