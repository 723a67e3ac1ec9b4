//! Outcomes that are reported to a caller.

use std::fmt;

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The answer is complete.
    Complete,
    /// No byte that could start the work was sent to any endpoint.
    NotRun,
    /// The request may have run, partly or entirely, and won't be repeated.
    Unknown,
}

impl Outcome {
    /// Returns the value used in headers and in the last event of a stream.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
