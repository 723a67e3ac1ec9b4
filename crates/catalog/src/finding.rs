//! What is wrong with a catalog, with its place.

use std::fmt;

/// A finding.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Table and row, such as `route menu`.
    pub location: String,
    /// What is wrong.
    pub message: String,
}

impl Finding {
    /// A finding about `place`.
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
