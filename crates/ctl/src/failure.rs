//! Why a command ended early, and the exit code for it.

use bundle::finding::Findings;
use eyre::Report;
use std::process::ExitCode;

/// A result of a command.
pub type Result<T = (), E = Failure> = std::result::Result<T, E>;

/// Why a command ended early.
#[derive(Debug)]
pub enum Failure {
    /// What was given is wrong; trying again won't help.
    Input(Report),
    /// A bundle is wrong.
    Findings(Findings),
    /// It couldn't be done, or another version won.
    Failed(Report),
}

impl Failure {
    /// The exit code.
    pub fn code(&self) -> ExitCode {
        match self {
            Self::Failed(_) => ExitCode::from(1),
            Self::Input(_) | Self::Findings(_) => ExitCode::from(2),
        }
    }
}

/// A failure for wrong input.
pub fn input(report: impl Into<Report>) -> Failure {
    Failure::Input(report.into())
}

/// A failure for what couldn't be done.
pub fn failed(report: impl Into<Report>) -> Failure {
    Failure::Failed(report.into())
}
