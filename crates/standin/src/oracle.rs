//! Computes the answer expected of stand-in engines, without stages.
//!
//! Shares only the hash function and the vocabulary with [`crate::engine`], so that a fault in the
//! staged computation, in the frames or in the driver shows as a different answer.

use crate::engine::hash::{mix, name};
use crate::engine::vocabulary;
use engine::chain::Token;

/// A request to a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Question<'a> {
    /// Name of the model.
    pub model: &'a str,
    /// Version of the model's weights.
    pub version: &'a str,
    /// Adapter, if any.
    pub adapter: Option<&'a str>,
    /// Number of layers of the whole model.
    pub layers: u16,
    /// Prompt, as bytes.
    pub prompt: &'a [u8],
    /// Seed of the token draws.
    pub seed: u64,
    /// Maximum number of tokens in the answer.
    pub max_tokens: u32,
}

/// Returns all tokens of the expected answer.
pub fn answer(question: &Question) -> Vec<Token> {
    let salt = name(question.model, question.version, question.adapter);
    let mut caches = vec![0_u64; question.layers.into()];
    let mut position = 0_u64;
    let mut run = |embedding: u64| {
        let mut activation = embedding;
        for (layer, cache) in caches.iter_mut().enumerate() {
            *cache = mix(&[*cache, activation, layer as u64, position, salt]);
            activation = mix(&[activation, *cache, layer as u64]);
        }
        position += 1;
        mix(&[activation, question.seed, position])
    };
    let mut draw = run(mix(&[0, 0]));
    for chunk in question.prompt.chunks(4) {
        let mut bytes = [0; 4];
        bytes[..chunk.len()].copy_from_slice(chunk);
        draw = run(mix(&[1, u32::from_le_bytes(bytes).into()]));
    }
    let mut tokens = Vec::new();
    while tokens.len() < question.max_tokens as usize {
        let (token, end) = vocabulary::pick(draw);
        draw = run(mix(&[2, token.id.into()]));
        tokens.push(token);
        if end {
            break;
        }
    }
    tokens
}

/// Returns the number of tokens of a prompt: a start marker and one for each four bytes.
pub fn prompt_tokens(prompt: &[u8]) -> u32 {
    1 + prompt.len().div_ceil(4) as u32
}
