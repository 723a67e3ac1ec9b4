//! Who holds a claim or a lease.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Number of a node, the same on all nodes and over its restarts.
pub type NodeId = u64;

/// One run of one node's process. What it owned is never taken over by the node's next run, which
/// has another incarnation and can't know what its predecessor had sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// The node.
    pub node: NodeId,
    /// Drawn anew at each start of its process.
    pub incarnation: u64,
}

impl fmt::Display for Owner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}/{:x}", self.node, self.incarnation)
    }
}
