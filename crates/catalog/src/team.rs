//! Teams of callers.

/// A team, identified by the keys that its callers send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// Name, which is passed on to endpoints.
    pub name: String,
    /// Priority of its requests, 0 is the highest; overrides the priority of the route.
    pub priority: Option<u8>,
}
