//! The outcomes a caller can be told.

use std::fmt;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The answer is whole.
    Complete,
    /// No byte that could start the work left for any endpoint.
    NotRun,
    /// It may have run, in part or in whole, and won't be repeated.
    Unknown,
}

impl Outcome {
    /// The word used in headers and in a stream's last event.
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
