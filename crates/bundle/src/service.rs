//! Plain services, which run beside the model engines.

/// A plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name, unique in the bundle; callers reach the service under `/services/NAME/`.
    pub name: String,
    /// Whether calls may be retried unless the caller says otherwise.
    pub repeatable: bool,
}
