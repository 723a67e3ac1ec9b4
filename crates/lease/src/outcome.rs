//! Outcome of a non-idempotent request.

use serde::{Deserialize, Serialize};
use std::fmt;

/// How the run of a non-idempotent request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The request ran to completion.
    Complete,
    /// No node sent any byte that could start a request with this key to an endpoint.
    NotRun,
    /// The request may have run, partly or completely, and is not repeated.
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
