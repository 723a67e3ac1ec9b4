//! Computes a node's share of a team's limit.
//!
//! A small fraction of the limit, the floor, is always split equally over all nodes. The rest, the
//! pool, is split in proportion to the demand that the nodes announced. Each node counts of its own
//! demand only the smallest value that it announced within a window. If every announcement arrives
//! within that window, each peer counts for this node at least what the node counts for itself, so
//! the shares of all nodes never add up to more than the limit.

/// Fraction of a limit that is split equally over all nodes, whatever the demand.
pub const FLOOR_FRACTION: f64 = 0.1;
/// Sum of the weights that all nodes have without demand, as a fraction of the limit. It makes the shares
/// of an idle team equal.
pub const IDLE_WEIGHT_FRACTION: f64 = 0.05;

/// Input of the computation of one share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Input {
    /// Limit of the team over all nodes.
    pub limit: f64,
    /// Number of existing nodes.
    pub nodes: usize,
    /// Number of nodes on this side of a parted group, including this one.
    pub near_nodes: usize,
    /// Fraction of the pool that belongs to this side; 1 if the group is not parted.
    pub side_fraction: f64,
    /// Smallest demand that this node announced within the window.
    pub own_demand: f64,
    /// Sum of the demands announced by the other nodes of this side.
    pub others_demand: f64,
}

/// Returns the weight of a node without demand.
pub fn idle_weight(limit: f64, nodes: usize) -> f64 {
    IDLE_WEIGHT_FRACTION * limit / nodes.max(1) as f64
}

/// Returns the share that each node has in any case.
pub fn floor(limit: f64, nodes: usize) -> f64 {
    FLOOR_FRACTION * limit / nodes.max(1) as f64
}

/// Returns this node's share.
pub fn node_share(input: &Input) -> f64 {
    let Input {
        limit,
        nodes,
        near_nodes,
        side_fraction,
        own_demand,
        others_demand,
    } = *input;
    let idle_weight = idle_weight(limit, nodes);
    let total = own_demand + others_demand + idle_weight * near_nodes.max(1) as f64;
    if total <= 0.0 {
        return 0.0;
    }
    let pool = (1.0 - FLOOR_FRACTION) * limit * side_fraction;
    floor(limit, nodes) + pool * (own_demand + idle_weight) / total
}

/// Returns the fraction of the pool that remains to a side of weight `near` when nodes of weight `gone`
/// part from it; `side` is its fraction before.
pub fn side_after_split(side: f64, near: f64, gone: f64) -> f64 {
    match near + gone > 0.0 {
        true => side * near / (near + gone),
        false => side,
    }
}

/// Returns the fraction of the pool of a side after nodes of weight `back`, out of the weight `far` of the
/// other sides, rejoined it; `side` is its fraction before.
pub fn side_after_rejoin(side: f64, far: f64, back: f64) -> f64 {
    match far > 0.0 {
        true => (side + (1.0 - side) * back / far).min(1.0),
        false => 1.0,
    }
}

/// Rounds a share of requests in flight to a whole number. It is rounded up with a probability equal to its
/// fractional part, decided by `key`, a hash of node and team, so that the sum over all nodes is right on
/// average. Rounding up on all of 370 nodes would turn a limit of 50 into 370.
pub fn slots(share: f64, key: u64) -> u32 {
    let whole = share.max(0.0).floor();
    let threshold = (key >> 11) as f64 / (1u64 << 53) as f64;
    whole as u32 + u32::from(share - whole > threshold)
}
