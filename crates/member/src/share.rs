//! A node's share of a team's limit.
//!
//! Every node always has an equal part of a small floor. The rest, the pool, is split by the
//! demand that nodes announced. If every report arrives within a window, and a node counts no
//! more of its own demand than the least it announced in that window, the shares of all nodes
//! never add up to more than the limit: whatever a peer has on record for this node is at least
//! what this node counts for itself.

/// Part of a limit that is split equally, whatever the demand.
pub const FLOOR_FRACTION: f64 = 0.1;
/// Weight of idle nodes in all, as a part of the limit: what makes an idle team's shares equal.
pub const IDLE_WEIGHT_FRACTION: f64 = 0.05;

/// What a node knows when it computes its share of one limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Input {
    /// The limit for all nodes.
    pub limit: f64,
    /// Nodes that exist.
    pub nodes: usize,
    /// Nodes on this side of a parted group, this one among them.
    pub near_nodes: usize,
    /// Part of the pool that belongs to this side; 1 if nobody is parted.
    pub side_fraction: f64,
    /// The least demand that this node announced within the window.
    pub own_demand: f64,
    /// Demand that the other nodes of this side announced.
    pub others_demand: f64,
}

/// The weight of an idle node.
pub fn idle_weight(limit: f64, nodes: usize) -> f64 {
    IDLE_WEIGHT_FRACTION * limit / nodes.max(1) as f64
}

/// The part that each node has in any case.
pub fn floor(limit: f64, nodes: usize) -> f64 {
    FLOOR_FRACTION * limit / nodes.max(1) as f64
}

/// This node's share.
pub fn node_share(input: &Input) -> f64 {
    let Input {
        limit,
        nodes,
        near_nodes: near,
        side_fraction: side,
        own_demand: own,
        others_demand: others,
    } = *input;
    let base = idle_weight(limit, nodes);
    let all = own + others + base * near.max(1) as f64;
    if all <= 0.0 {
        return 0.0;
    }
    let pool = (1.0 - FLOOR_FRACTION) * limit * side;
    floor(limit, nodes) + pool * (own + base) / all
}

/// The part of the pool that is left to a side of weight `near` when `gone` parts from it.
pub fn side_after_split(side: f64, near: f64, gone: f64) -> f64 {
    match near + gone > 0.0 {
        true => side * near / (near + gone),
        false => side,
    }
}

/// The part of the pool after `back` of the `far` weight came back.
pub fn side_after_rejoin(side: f64, far: f64, back: f64) -> f64 {
    match far > 0.0 {
        true => (side + (1.0 - side) * back / far).min(1.0),
        false => 1.0,
    }
}

/// A share of slots as a whole number: the fraction becomes a slot on as many nodes as it adds
/// up to on average, chosen by `key`, a hash of node and team. Rounding up on all nodes would
/// let a limit of 50 become 370.
pub fn slots(share: f64, key: u64) -> u32 {
    let whole = share.max(0.0).floor();
    let chance = (key >> 11) as f64 / (1u64 << 53) as f64;
    whole as u32 + u32::from(share - whole > chance)
}
