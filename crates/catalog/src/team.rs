//! Teams.

/// A team.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// Its name, told to endpoints.
    pub name: String,
    /// Rank of its requests, 0 first; goes before that of the route.
    pub priority: Option<u8>,
}
