//! Maximum flow by Dinic's algorithm, with capacities in tokens per second.

/// Index of a node.
pub type Node = usize;
/// Index of an edge; its reverse is `edge ^ 1`.
pub type Edge = usize;

/// Capacity that is never reached.
pub const UNBOUNDED: f64 = 1e12;
/// Residual capacity below which an edge counts as saturated.
const EPSILON: f64 = 1e-6;

/// Flow network and its current flow.
#[derive(Clone, Debug, Default)]
pub struct Network {
    heads: Vec<Node>,
    residual: Vec<f64>,
    outgoing: Vec<Vec<Edge>>,
    level: Vec<u32>,
    cursor: Vec<usize>,
}

impl Network {
    /// Creates a network of `nodes` nodes without edges.
    pub fn new(nodes: usize) -> Self {
        Self {
            outgoing: vec![Vec::new(); nodes],
            level: vec![0; nodes],
            cursor: vec![0; nodes],
            ..Self::default()
        }
    }

    /// Adds an edge with a capacity of `capacity` tokens per second.
    pub fn add_edge(&mut self, from: Node, to: Node, capacity: f64) -> Edge {
        let edge = self.heads.len();
        self.heads.extend([to, from]);
        self.residual.extend([capacity, 0.0]);
        self.outgoing[from].push(edge);
        self.outgoing[to].push(edge + 1);
        edge
    }

    /// Returns the flow on `edge`.
    pub fn flow(&self, edge: Edge) -> f64 {
        self.residual[edge ^ 1]
    }

    /// Augments the flow from `source` to `sink` to its maximum and returns the increase. Edges may
    /// be added between two calls; edges that were added earlier are filled first.
    pub fn augment(&mut self, source: Node, sink: Node) -> f64 {
        let mut total = 0.0;
        while self.assign_levels(source, sink) {
            self.cursor.fill(0);
            loop {
                let pushed = self.push(source, sink, UNBOUNDED);
                if pushed <= EPSILON {
                    break;
                }
                total += pushed;
            }
        }
        total
    }

    /// Assigns breadth-first levels over edges with residual capacity; returns whether `sink` is
    /// reachable.
    fn assign_levels(&mut self, source: Node, sink: Node) -> bool {
        self.level.fill(u32::MAX);
        self.level[source] = 0;
        let mut queue = vec![source];
        let mut at = 0;
        while let Some(&node) = queue.get(at) {
            at += 1;
            for &edge in &self.outgoing[node] {
                let head = self.heads[edge];
                if self.residual[edge] > EPSILON && self.level[head] == u32::MAX {
                    self.level[head] = self.level[node] + 1;
                    queue.push(head);
                }
            }
        }
        self.level[sink] != u32::MAX
    }

    /// Pushes at most `limit` along one path of ascending levels; returns the flow pushed.
    fn push(&mut self, node: Node, sink: Node, limit: f64) -> f64 {
        if node == sink {
            return limit;
        }
        while let Some(&edge) = self.outgoing[node].get(self.cursor[node]) {
            let head = self.heads[edge];
            if self.residual[edge] > EPSILON && self.level[head] == self.level[node] + 1 {
                let pushed = self.push(head, sink, limit.min(self.residual[edge]));
                if pushed > EPSILON {
                    self.residual[edge] -= pushed;
                    self.residual[edge ^ 1] += pushed;
                    return pushed;
                }
            }
            self.cursor[node] += 1;
        }
        0.0
    }
}
