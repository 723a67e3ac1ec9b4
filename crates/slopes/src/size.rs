//! The fleet size that the system is designed for, and the sizes at which costs are measured.

/// Number of router nodes.
pub const NODES: f64 = 370.0;
/// Number of endpoints: one for each accelerator.
pub const ENDPOINTS: f64 = 9_400.0;
/// Requests per second of all nodes.
pub const REQUESTS: f64 = 12_000.0;
/// Tokens per second of all nodes.
pub const TOKENS: f64 = 2_900_000.0;
/// Number of teams.
pub const TEAMS: f64 = 470.0;
/// Configuration changes per second, averaged over a day.
pub const CHANGES: f64 = 16_000.0 / 86_400.0;

/// Size of a fleet in which each replica has two endpoints.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Number of replicas of all models together.
    pub replicas: usize,
    /// Number of teams.
    pub teams: usize,
    /// Number of models.
    pub models: usize,
    /// Number of availability zones.
    pub zones: usize,
}

impl Size {
    /// Returns the number of endpoints of all replicas.
    pub fn endpoints(&self) -> usize {
        self.replicas * 2
    }
}

/// Measured sizes, from that of a current deployment up to the design size.
pub const SIZES: [Size; 4] = [
    size(40, 10, 1, 3),
    size(260, 60, 4, 6),
    size(1_175, 235, 9, 9),
    size(4_700, 470, 18, 18),
];

const fn size(replicas: usize, teams: usize, models: usize, zones: usize) -> Size {
    Size {
        replicas,
        teams,
        models,
        zones,
    }
}
