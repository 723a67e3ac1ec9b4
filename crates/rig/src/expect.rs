//! What an answer must be, computed without the system.

use crate::caller::Ask;
use crate::plan::{Plan, VERSION};
use standin::oracle::{Question, answer};

/// Text that a whole answer to `ask` must have. The prompt is the one that the callers' API
/// documents for chat messages.
pub fn text(plan: &Plan, ask: &Ask) -> String {
    let prompt = format!("<|user|>\n{}\n<|assistant|>\n", ask.message);
    let (model, adapter) = match ask.model.split_once(':') {
        Some((model, adapter)) => (model, Some(adapter)),
        None => (ask.model.as_str(), None),
    };
    let tokens = answer(&Question {
        model,
        version: VERSION,
        adapter,
        layers: plan.layers,
        prompt: prompt.as_bytes(),
        seed: ask.seed,
        most: ask.most,
    });
    tokens.into_iter().map(|t| t.text).collect()
}
