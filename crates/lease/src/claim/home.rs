//! Assignment of shards to home nodes. It affects performance only, not correctness.

use crate::claim::Shard;
use crate::owner::NodeId;
use xxhash_rust::xxh3::xxh3_64;

/// Returns the home of `shard` among the live nodes, by rendezvous hashing: the node with the
/// highest hash of node and shard. A node that joins or leaves moves only its own shards.
///
/// Requests with the same key that arrive at the same node share its appends and answers. If nodes
/// disagree on the home, this costs appends but never leads to a second run, since the log
/// decides who owns a key.
pub fn home(shard: Shard, nodes: &[NodeId]) -> Option<NodeId> {
    nodes
        .iter()
        .copied()
        .max_by_key(|node| (weight(shard, *node), *node))
}

/// Returns the shards that `me` is the home of.
pub fn shards(me: NodeId, nodes: &[NodeId], shards: Shard) -> Vec<Shard> {
    (0..shards)
        .filter(|shard| home(*shard, nodes) == Some(me))
        .collect()
}

fn weight(shard: Shard, node: NodeId) -> u64 {
    let mut bytes = [0; 10];
    bytes[..8].copy_from_slice(&node.to_le_bytes());
    bytes[8..].copy_from_slice(&shard.to_le_bytes());
    xxh3_64(&bytes)
}
