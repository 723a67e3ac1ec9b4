//! Response of the admin API that lists the version in force on each node.

use crate::id::Number;
use serde::{Deserialize, Serialize};
use std::fmt;

/// State of a node that has left or is no longer listed.
const LEFT: &str = "left";

/// A node as another node sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// Name of the node in the instance list.
    pub node: String,
    /// State of the node as seen by the responding node, such as `up`, `suspect` or `left`.
    #[serde(default)]
    pub state: String,
    /// Last reported number of the version in force on the node; 0 if none was reported yet.
    #[serde(default)]
    pub number: Number,
}

/// Writes the name and the state.
impl fmt::Display for Node {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.node, self.state)
    }
}

/// All nodes that the responding node knows, including itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fleet {
    /// The nodes.
    pub nodes: Vec<Node>,
}

impl Fleet {
    /// Returns the nodes that haven't left.
    pub fn listed(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|n| n.state != LEFT)
    }

    /// Returns the listed nodes whose version in force is lower than `number`.
    pub fn behind(&self, number: Number) -> impl Iterator<Item = &Node> {
        self.listed().filter(move |n| n.number < number)
    }
}
