//! What control publishes to the request workers and the admin listener.

use crate::address::Address;
use arc_swap::ArcSwapOption;
use route::view::View;
use std::sync::Arc;

/// Control's knowledge at one moment.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// The router's part.
    pub view: Arc<View>,
    /// By model of the bundle: the version that new requests are sent to.
    pub versions: Vec<String>,
    /// Entry nodes that take new callers, this one included unless it leaves.
    pub addresses: Vec<Address>,
}

/// The place where control puts the newest snapshot; empty until a bundle is in force.
pub type SharedSnapshot = Arc<ArcSwapOption<Snapshot>>;
