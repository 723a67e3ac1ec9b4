//! A node's share of a team's limit.
//!
//! Every node always has an equal part of a small floor. The rest, the pool, is split by the
//! demand that nodes announced. If every report arrives within a window, and a node counts no
//! more of its own demand than the least it announced in that window, the shares of all nodes
//! never add up to more than the limit: whatever a peer has on record for this node is at least
//! what this node counts for itself.

/// Part of a limit that is split equally, whatever the demand.
pub const FLOOR: f64 = 0.1;
/// Weight of idle nodes in all, as a part of the limit: what makes an idle team's shares equal.
pub const BASE: f64 = 0.05;

/// What a node knows when it computes its share of one limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Input {
    /// The limit for all nodes.
    pub limit: f64,
    /// Nodes that exist.
    pub nodes: usize,
    /// Nodes on this side of a parted group, this one among them.
    pub near: usize,
    /// Part of the pool that belongs to this side; 1 if nobody is parted.
    pub side: f64,
    /// The least demand that this node announced within the window.
    pub own: f64,
    /// Demand that the other nodes of this side announced.
    pub others: f64,
}

/// The weight of an idle node.
pub fn base(limit: f64, nodes: usize) -> f64 {
    BASE * limit / nodes.max(1) as f64
}

/// The part that each node has in any case.
pub fn floor(limit: f64, nodes: usize) -> f64 {
    FLOOR * limit / nodes.max(1) as f64
}

/// This node's share.
pub fn split(input: &Input) -> f64 {
    let Input {
        limit,
        nodes,
        near,
        side,
        own,
        others,
    } = *input;
    let base = base(limit, nodes);
    let all = own + others + base * near.max(1) as f64;
    if all <= 0.0 {
        return 0.0;
    }
    let pool = (1.0 - FLOOR) * limit * side;
    floor(limit, nodes) + pool * (own + base) / all
}

/// The part of the pool that is left to a side of weight `near` when `gone` parts from it.
pub fn part(side: f64, near: f64, gone: f64) -> f64 {
    match near + gone > 0.0 {
        true => side * near / (near + gone),
        false => side,
    }
}

/// The part of the pool after `back` of the `far` weight came back.
pub fn rejoin(side: f64, far: f64, back: f64) -> f64 {
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
