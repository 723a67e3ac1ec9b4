//! The state of the fleet that the control task publishes to a worker.

use arc_swap::ArcSwapOption;
use std::net::SocketAddr;
use std::sync::Arc;
use steer::Fleet;
use steer::crash::Ledger;
use tokio::sync::watch;

/// Snapshot of the state that the control task knows.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Catalog, endpoints and number of nodes.
    pub fleet: Fleet,
    /// Addresses for callers of the nodes that accept new requests and are not isolated from most
    /// endpoints; includes this node unless it leaves.
    pub nodes: Vec<SocketAddr>,
    /// Other nodes that may serve requests for this one; empty unless it is isolated from endpoints.
    pub relays: Vec<Relay>,
    /// Whether this node is leaving.
    pub leaving: bool,
    /// Contents under which endpoints crashed at any node.
    pub crashes: Arc<Ledger>,
}

/// Another node that accepts requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Relay {
    /// Address on which it serves callers.
    pub addr: SocketAddr,
    /// Names of the services whose endpoints it is isolated from.
    pub isolated_from: Vec<String>,
}

/// The current view, replaced by the control task; empty until a catalog is in force.
pub type SharedView = Arc<ArcSwapOption<View>>;

/// Signals that a view with another set of ended runs was stored. The number rises with each such view,
/// after it was stored.
pub type Changes = watch::Receiver<u64>;
