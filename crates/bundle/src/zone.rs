//! Availability zones.

/// An availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Zone {
    /// Name, unique in the bundle.
    pub name: String,
    /// Name of its region.
    pub region: String,
}
