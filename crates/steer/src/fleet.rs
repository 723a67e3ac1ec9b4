//! What a worker is told of the outside.

use crate::load::Load;
use catalog::{Catalog, Endpoint};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The catalog in force, the endpoints that may be used, and the nodes that share them.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// The catalog.
    pub catalog: Arc<Catalog>,
    /// The endpoints.
    pub endpoints: Arc<Vec<Endpoint>>,
    /// Loads that endpoints reported, by the text form of their run.
    pub loads: Arc<BTreeMap<String, Load>>,
    /// Runs of endpoints that several nodes found to fail, in their text form.
    pub reported_failed: Arc<BTreeSet<String>>,
    /// Runs of endpoints that are about to give up their layers for others, in their text form.
    pub releasing: Arc<BTreeSet<String>>,
    /// Nodes that send requests, this one included. Callers spread evenly over them, so what this
    /// node has under way, times this number, is what an endpoint has under way.
    pub nodes: usize,
    /// Nodes that may choose by the same reports as this one; more than `nodes` where this one has just
    /// started and knows few of the others yet.
    pub selecting_nodes: usize,
    /// Nodes that may send further attempts, those included that are out of reach now: the
    /// budget is shared with them, since they may only be cut off from this one.
    pub budget_nodes: usize,
}
