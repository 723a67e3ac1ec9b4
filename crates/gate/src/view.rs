//! What control publishes to a worker.

use arc_swap::ArcSwapOption;
use std::net::SocketAddr;
use std::sync::Arc;
use steer::Fleet;

/// Control's knowledge at one moment.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Catalog, endpoints and number of nodes.
    pub fleet: Fleet,
    /// Where callers reach the nodes that take new work, this one included unless it leaves.
    pub nodes: Vec<SocketAddr>,
    /// Whether this node leaves.
    pub leaving: bool,
}

/// Where control puts the newest view; empty until a catalog is in force.
pub type SharedView = Arc<ArcSwapOption<View>>;
