//! Names of prompt prefixes, the same for nodes and engines.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of a prompt in a block.
pub const BLOCK_BYTES: usize = 64;
/// Most blocks that are named; a longer prompt's rest counts as uncached.
pub const MAX_BLOCKS: usize = 1024;

/// Chained hashes of the prompt's whole blocks: each names the prompt from its start through that
/// block, under this model, version and adapter.
pub fn block_hashes(model: &str, version: &str, adapter: Option<&str>, prompt: &[u8]) -> Vec<u64> {
    let mut hash = xxh3_64_with_seed(model.as_bytes(), 0);
    hash = xxh3_64_with_seed(version.as_bytes(), hash);
    hash = xxh3_64_with_seed(adapter.unwrap_or_default().as_bytes(), hash);
    prompt
        .chunks_exact(BLOCK_BYTES)
        .take(MAX_BLOCKS)
        .map(|block| {
            hash = xxh3_64_with_seed(block, hash);
            hash
        })
        .collect()
}
