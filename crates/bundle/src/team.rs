//! Teams.

use crate::digest::Digest;
use crate::id::{ModelId, PriorityId};

/// A team of callers.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Name, unique in the bundle.
    pub name: String,
    /// Digests of its bearer keys.
    pub keys: Vec<Digest>,
    /// Share among teams when capacity is short.
    pub weight: u32,
    /// Requests started per second across all nodes.
    pub rate: f64,
    /// Requests in flight across all nodes.
    pub in_flight: u32,
    /// The most urgent priority it may ask for.
    pub highest_priority: PriorityId,
    /// The priority of a request that names none.
    pub default_priority: PriorityId,
    /// Models it may use; empty means all.
    pub models: Vec<ModelId>,
}
