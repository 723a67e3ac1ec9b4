//! The admin API's answer on which version each listed node has in force.

use crate::id::Number;
use serde::{Deserialize, Serialize};

/// A node as another node sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// Its name in the instance list.
    pub name: String,
    /// Number of the version it has in force, as last heard; `None` if nothing was heard yet.
    #[serde(default)]
    pub number: Option<Number>,
}

/// All nodes that the instance list gives, the asked one included.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fleet {
    /// The nodes.
    pub nodes: Vec<Node>,
}

impl Fleet {
    /// Nodes that don't have version `number` or a later one in force yet.
    pub fn behind(&self, number: Number) -> impl Iterator<Item = &Node> {
        let behind = move |n: &&Node| n.number.is_none_or(|has| has < number);
        self.nodes.iter().filter(behind)
    }
}
