//! Plain services beside the model engines.

/// A plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name, unique in the bundle; callers reach it under `/services/NAME/`.
    pub name: String,
    /// Whether its calls may be repeated unless the caller says otherwise.
    pub repeatable: bool,
}
