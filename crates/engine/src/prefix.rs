//! Hashes that identify prompt prefixes. Nodes and engines compute the same ones.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Size of a block of the prompt in bytes.
pub const BLOCK_BYTES: usize = 64;
/// Maximum number of hashed blocks. The rest of a longer prompt counts as uncached.
pub const MAX_BLOCKS: usize = 1024;

/// Returns the chained hashes of the prompt's complete blocks. Each hash identifies the prompt from
/// its start through that block, for this model, version and adapter.
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
