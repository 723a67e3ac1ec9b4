//! How a request that may not be repeated ended.

use serde::{Deserialize, Serialize};
use std::fmt;

/// An outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// It ran to its end.
    Complete,
    /// No byte that could start it left for any endpoint, under this key, on any node.
    NotRun,
    /// It may have run, in part or in whole, and won't be repeated.
    Unknown,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Complete => "complete",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        })
    }
}
