//! Owner of a claim or a lease.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Id of a node, the same on all nodes and across its restarts.
pub type NodeId = u64;

/// One run of one node's process.
///
/// The node's next run has another incarnation and never inherits what this one owned, since it
/// can't know what its predecessor sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// Id of the node.
    pub node: NodeId,
    /// Random number drawn at each start of the node's process.
    pub incarnation: u64,
}

impl fmt::Display for Owner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}/{:x}", self.node, self.incarnation)
    }
}
