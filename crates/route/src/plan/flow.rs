//! Maximum flow by Dinic's algorithm, on capacities in tokens per second.

/// Index of a node.
pub type Node = usize;
/// Index of an edge; its reverse is `edge ^ 1`.
pub type Edge = usize;

/// Capacity that never binds.
pub const UNBOUNDED: f64 = 1e12;
/// Flow below which an edge counts as full.
const EPSILON: f64 = 1e-6;

/// A network with the flow found so far.
#[derive(Clone, Debug, Default)]
pub struct Network {
    heads: Vec<Node>,
    spare: Vec<f64>,
    out: Vec<Vec<Edge>>,
    level: Vec<u32>,
    next: Vec<usize>,
}

impl Network {
    /// A network of `nodes` nodes without edges.
    pub fn new(nodes: usize) -> Self {
        Self {
            out: vec![Vec::new(); nodes],
            level: vec![0; nodes],
            next: vec![0; nodes],
            ..Self::default()
        }
    }

    /// Adds an edge that carries `capacity` tokens per second.
    pub fn edge(&mut self, from: Node, to: Node, capacity: f64) -> Edge {
        let edge = self.heads.len();
        self.heads.extend([to, from]);
        self.spare.extend([capacity, 0.0]);
        self.out[from].push(edge);
        self.out[to].push(edge + 1);
        edge
    }

    /// The flow on `edge`.
    pub fn flow(&self, edge: Edge) -> f64 {
        self.spare[edge ^ 1]
    }

    /// Adds all the flow that fits from `source` to `sink`; returns what was added. Edges may
    /// be added between two calls: the earlier ones are filled first.
    pub fn fill(&mut self, source: Node, sink: Node) -> f64 {
        let mut total = 0.0;
        while self.rank(source, sink) {
            self.next.fill(0);
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

    /// Breadth-first distances over edges with spare capacity; whether `sink` is in reach.
    fn rank(&mut self, source: Node, sink: Node) -> bool {
        self.level.fill(u32::MAX);
        self.level[source] = 0;
        let mut queue = vec![source];
        let mut at = 0;
        while let Some(&node) = queue.get(at) {
            at += 1;
            for &edge in &self.out[node] {
                let head = self.heads[edge];
                if self.spare[edge] > EPSILON && self.level[head] == u32::MAX {
                    self.level[head] = self.level[node] + 1;
                    queue.push(head);
                }
            }
        }
        self.level[sink] != u32::MAX
    }

    /// Pushes at most `limit` along one path of growing distance.
    fn push(&mut self, node: Node, sink: Node, limit: f64) -> f64 {
        if node == sink {
            return limit;
        }
        while let Some(&edge) = self.out[node].get(self.next[node]) {
            let head = self.heads[edge];
            if self.spare[edge] > EPSILON && self.level[head] == self.level[node] + 1 {
                let pushed = self.push(head, sink, limit.min(self.spare[edge]));
                if pushed > EPSILON {
                    self.spare[edge] -= pushed;
                    self.spare[edge ^ 1] += pushed;
                    return pushed;
                }
            }
            self.next[node] += 1;
        }
        0.0
    }
}
