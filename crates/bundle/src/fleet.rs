//! The admin API's answer on which version each listed node has in force.

use crate::id::Number;
use serde::{Deserialize, Serialize};
use std::fmt;

/// State of a node that has left or is no longer listed.
const LEFT: &str = "left";

/// A node as another node sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// Its name in the instance list.
    pub node: String,
    /// What the node that answers holds of it, such as `up`, `suspect` or `left`.
    #[serde(default)]
    pub state: String,
    /// Number of the version it has in force, as last heard; 0 if nothing was heard yet.
    #[serde(default)]
    pub number: Number,
}

/// Name and state.
impl fmt::Display for Node {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.node, self.state)
    }
}

/// All nodes that the asked one knows of, itself included.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fleet {
    /// The nodes.
    pub nodes: Vec<Node>,
}

impl Fleet {
    /// Nodes that haven't left.
    pub fn listed(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|n| n.state != LEFT)
    }

    /// Of these, the ones without version `number` or a later one in force.
    pub fn behind(&self, number: Number) -> impl Iterator<Item = &Node> {
        self.listed().filter(move |n| n.number < number)
    }
}
