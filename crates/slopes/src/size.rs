//! The size to design for, and the sizes that slopes are measured at.

/// Nodes before the fleet.
pub const NODES: f64 = 370.0;
/// Endpoints: one for each accelerator.
pub const ENDPOINTS: f64 = 9_400.0;
/// Requests per second of all nodes.
pub const REQUESTS: f64 = 12_000.0;
/// Tokens per second of all nodes.
pub const TOKENS: f64 = 2_900_000.0;
/// Teams.
pub const TEAMS: f64 = 470.0;
/// Changes of configuration per second, as the mean of a day.
pub const CHANGES: f64 = 16_000.0 / 86_400.0;

/// Size of a fleet of endpoints, two to a replica.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Replicas of all models.
    pub replicas: usize,
    /// Teams.
    pub teams: usize,
    /// Models.
    pub models: usize,
    /// Availability zones.
    pub zones: usize,
}

impl Size {
    /// Endpoints of all replicas.
    pub fn endpoints(&self) -> usize {
        self.replicas * 2
    }
}

/// From today's size to the one to design for.
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
