//! Priorities.

/// A priority; the table is sorted by rank.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Priority {
    /// Name, unique in the bundle.
    pub name: String,
    /// Rank; a lower one goes first.
    pub rank: u32,
    /// Whether it goes strictly before all that is not urgent.
    pub urgent: bool,
    /// Share among priorities that are not urgent.
    pub weight: u32,
}
