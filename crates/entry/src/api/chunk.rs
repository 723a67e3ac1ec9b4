//! Events of streamed answers; a whole text completion has the same shape.

use super::chat::Usage;
use serde::Serialize;

/// One event of a streamed answer, with choices of the API's kind.
#[derive(Debug, Serialize)]
pub struct Chunk<'a, C> {
    /// Id of the answer.
    pub id: &'a str,
    /// Kind of object.
    pub object: &'static str,
    /// Unix time of its making.
    pub created: u64,
    /// Model, as named by the caller.
    pub model: &'a str,
    /// The one choice; none in the event that only carries usage.
    pub choices: Vec<C>,
    /// Tokens used, in the last event if asked for.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
    /// Outcome, in the last event of a stream.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub outcome: Option<&'static str>,
}
