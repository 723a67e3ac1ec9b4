//! State of the fleet as a worker receives it.

use crate::load::Load;
use catalog::{Catalog, Endpoint};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// Catalog in force, usable endpoints, and the nodes that share them.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// Catalog in force.
    pub catalog: Arc<Catalog>,
    /// Endpoints that may be used.
    pub endpoints: Arc<Vec<Endpoint>>,
    /// Load reports of endpoints, by the text form of their run.
    pub loads: Arc<BTreeMap<String, Load>>,
    /// Runs of endpoints that several nodes reported as failing, in text form.
    pub reported_failed: Arc<BTreeSet<String>>,
    /// Runs of engines that the node that polls them found to have ended, in text form.
    pub ended: Arc<BTreeSet<String>>,
    /// Those of them whose end is confirmed by another node or by refused connections.
    pub confirmed_ended: Arc<BTreeSet<String>>,
    /// Runs of endpoints that are about to release their layers to load others, in text form.
    pub releasing: Arc<BTreeSet<String>>,
    /// Runs of endpoints that announced to this node that they leave, in text form.
    pub leaving: Arc<BTreeSet<String>>,
    /// Addresses for callers of the nodes that send requests.
    pub members: Arc<Vec<SocketAddr>>,
    /// Address for callers of this node; `None` if it is not known.
    pub me: Option<SocketAddr>,
    /// Number of nodes that send requests, this one included. Callers are spread evenly over them,
    /// so an endpoint has in flight what this node has in flight there times this number.
    pub nodes: usize,
    /// Number of nodes that may select by the same reports as this one. It exceeds `nodes` if this
    /// node started recently and knows few of the others yet.
    pub selecting_nodes: usize,
    /// Number of nodes that share the retry budget. It includes unreachable nodes, since they may
    /// only be partitioned from this one.
    pub budget_nodes: usize,
}
