//! What an answer must be, computed without the system.

use crate::caller::Ask;
use crate::plan::{Plan, VERSION};
use standin::oracle::{Question, answer};

/// Text that a whole answer to `ask` must have. The prompt is the one that the callers' API
/// documents for chat messages.
pub fn text(plan: &Plan, ask: &Ask) -> String {
    text_of(plan, ask, VERSION)
}

/// The same for another version of the model.
pub fn text_of(plan: &Plan, ask: &Ask, version: &str) -> String {
    let prompt = format!("<|user|>\n{}\n<|assistant|>\n", ask.message);
    let (model, adapter) = match ask.model.split_once(':') {
        Some((model, adapter)) => (model, Some(adapter)),
        None => (ask.model.as_str(), None),
    };
    let tokens = answer(&Question {
        model,
        version,
        adapter,
        layers: plan.layers,
        prompt: prompt.as_bytes(),
        seed: ask.seed,
        max_tokens: ask.most,
    });
    tokens.into_iter().map(|t| t.text).collect()
}
