//! Teams of callers.

use crate::digest::Digest;
use crate::id::{ModelId, PriorityId};

/// A team of callers.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Name, unique in the bundle.
    pub name: String,
    /// SHA-256 digests of its bearer keys.
    pub keys: Vec<Digest>,
    /// Weight of its share among teams when capacity is scarce.
    pub weight: u32,
    /// Maximum rate of requests started per second, across all nodes.
    pub rate: f64,
    /// Maximum number of requests in flight, across all nodes.
    pub in_flight: u32,
    /// Most urgent priority that its requests may have.
    pub highest_priority: PriorityId,
    /// Priority of its requests that name none.
    pub default_priority: PriorityId,
    /// Models that it may use; empty for all models.
    pub models: Vec<ModelId>,
}
