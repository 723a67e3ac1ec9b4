//! Failures of commands, and their exit codes.

use bundle::finding::Findings;
use eyre::Report;
use std::process::ExitCode;

/// Result of a command or of one of its steps.
pub type Result<T = (), E = Failure> = std::result::Result<T, E>;

/// Reason for which a command failed.
#[derive(Debug)]
pub enum Failure {
    /// The input is invalid; a retry can't succeed.
    Input(Report),
    /// The bundle is invalid; holds every finding.
    Findings(Findings),
    /// The operation failed, or another version won the race.
    Failed(Report),
}

impl Failure {
    /// Returns the exit code: 1 for a failed operation, 2 for invalid input.
    pub fn code(&self) -> ExitCode {
        match self {
            Self::Failed(_) => ExitCode::from(1),
            Self::Input(_) | Self::Findings(_) => ExitCode::from(2),
        }
    }
}

/// Wraps an error that invalid input caused.
pub fn input(report: impl Into<Report>) -> Failure {
    Failure::Input(report.into())
}

/// Wraps an error of an operation that failed on valid input.
pub fn failed(report: impl Into<Report>) -> Failure {
    Failure::Failed(report.into())
}
