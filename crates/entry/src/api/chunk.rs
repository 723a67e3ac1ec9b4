//! Events of streamed answers. A text completion that is not streamed has the same format.

use super::chat::Usage;
use serde::Serialize;

/// An event of a streamed answer; `C` is the type of the API's choices.
#[derive(Debug, Serialize)]
pub struct Chunk<'a, C> {
    /// Id of the answer.
    pub id: &'a str,
    /// Object type.
    pub object: &'static str,
    /// Unix time of the answer's creation, in seconds.
    pub created: u64,
    /// Model, as named by the caller.
    pub model: &'a str,
    /// The only choice; empty in the event that carries only the usage.
    pub choices: Vec<C>,
    /// Number of tokens used, in the last event if the caller requested it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
    /// Outcome of the request, in the last event of a stream that has a choice.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub outcome: Option<&'static str>,
}
