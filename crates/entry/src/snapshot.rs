//! The state that the control thread publishes to the request workers.

use crate::address::Address;
use arc_swap::ArcSwapOption;
use route::view::View;
use std::collections::HashSet;
use std::net::IpAddr;
use std::sync::Arc;

/// The state of the fleet at one moment, as the control thread knows it.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// The router's view of the fleet.
    pub view: Arc<View>,
    /// Version that serves new requests, by model in the order of the bundle.
    pub versions: Vec<String>,
    /// Entry nodes that accept new callers, including this one unless it is leaving.
    pub addresses: Vec<Address>,
    /// IP addresses of the other entry nodes, including those that are leaving.
    pub peer_ips: Arc<HashSet<IpAddr>>,
}

/// The newest snapshot; `None` until a bundle is in force.
pub type SharedSnapshot = Arc<ArcSwapOption<Snapshot>>;
