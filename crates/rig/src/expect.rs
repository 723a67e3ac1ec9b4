//! Expected answers, computed without the router.

use crate::caller::ChatRequest;
use crate::plan::{Plan, VERSION};
use standin::oracle::{Question, answer};

/// Returns the text that a complete answer to `request` must have. The prompt is built from the
/// message as the API for callers documents it.
pub fn text(plan: &Plan, request: &ChatRequest) -> String {
    text_of(plan, request, VERSION)
}

/// Returns the text that a complete answer must have with this version of the model.
pub fn text_of(plan: &Plan, request: &ChatRequest, version: &str) -> String {
    let prompt = format!("<|user|>\n{}\n<|assistant|>\n", request.message);
    let (model, adapter) = match request.model.split_once(':') {
        Some((model, adapter)) => (model, Some(adapter)),
        None => (request.model.as_str(), None),
    };
    let tokens = answer(&Question {
        model,
        version,
        adapter,
        layers: plan.layers,
        prompt: prompt.as_bytes(),
        seed: request.seed,
        max_tokens: request.max_tokens,
    });
    tokens.into_iter().map(|t| t.text).collect()
}
