//! The home of a shard: the node that best serves it, for speed only.

use crate::claim::Shard;
use crate::owner::NodeId;
use xxhash_rust::xxh3::xxh3_64;

/// The home of `shard` among the live nodes: the highest hash of node and shard. A node that comes
/// or goes moves only the shards that it gains or leaves.
///
/// Requests that meet at one node share its appends and its answers. Nodes that disagree on the
/// home cost appends, and never a second run: the log decides that.
pub fn home(shard: Shard, nodes: &[NodeId]) -> Option<NodeId> {
    nodes
        .iter()
        .copied()
        .max_by_key(|node| (weight(shard, *node), *node))
}

/// The shards that `me` is the home of.
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
