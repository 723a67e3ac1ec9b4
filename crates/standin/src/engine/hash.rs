//! The hash that replaces a model's arithmetic.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Maximum number of words in one hash.
const MAX_WORDS: usize = 8;

/// Returns the hash of up to eight words, in order; further words are ignored.
pub fn mix(words: &[u64]) -> u64 {
    let mut bytes = [0; MAX_WORDS * 8];
    for (slot, word) in bytes.chunks_exact_mut(8).zip(words) {
        slot.copy_from_slice(&word.to_le_bytes());
    }
    xxh3_64(&bytes[..words.len().min(MAX_WORDS) * 8])
}

/// Returns the hash that identifies weights by model, version and adapter.
pub fn name(model: &str, version: &str, adapter: Option<&str>) -> u64 {
    let hash = xxh3_64_with_seed(model.as_bytes(), 1);
    let hash = xxh3_64_with_seed(version.as_bytes(), hash);
    adapter.map_or(hash, |adapter| xxh3_64_with_seed(adapter.as_bytes(), hash))
}
