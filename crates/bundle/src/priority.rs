//! Priorities of requests.

/// A priority; the table is sorted by rank.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Priority {
    /// Name, unique in the bundle.
    pub name: String,
    /// Rank; a lower rank is served first.
    pub rank: u32,
    /// Whether its requests always precede those of priorities that are not urgent.
    pub urgent: bool,
    /// Weight of its share of the capacity among priorities that are not urgent.
    pub weight: u32,
}
