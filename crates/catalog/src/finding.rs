//! Validation errors of a catalog.

use std::fmt;

/// A validation error and its location in the catalog.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Table and row that the finding is about, such as `route menu`.
    pub location: String,
    /// Description of the error.
    pub message: String,
}

impl Finding {
    /// Creates a finding about the row at `location`.
    pub fn new(location: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            location: location.into(),
            message: message.into(),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.location, self.message)
    }
}
