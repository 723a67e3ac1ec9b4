//! Findings: errors and warnings about a bundle, each with its location in the text.

use serde::{Deserialize, Serialize};
use std::error::Error;
use std::fmt;

/// Maximum number of findings that one check keeps; further ones are only counted.
pub const MAX_FINDINGS: usize = 1_000;

/// Severity of a finding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// The bundle can be used, but likely does not say what its author intended.
    Warning,
    /// The bundle can't be used.
    Error,
}

impl fmt::Display for Level {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Warning => "warning",
            Self::Error => "error",
        })
    }
}

/// An error or warning about a bundle.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Severity.
    pub level: Level,
    /// Line in the text, counted from 1; 0 if there is no line (a section from a delta).
    pub line: u32,
    /// Header of the section, such as `team kitchens`; empty outside of any section.
    pub section: String,
    /// Key within the section; empty if the finding concerns the whole section.
    pub key: String,
    /// Description of the problem.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line > 0 {
            write!(f, "line {}: ", self.line)?;
        }
        write!(f, "{}: ", self.level)?;
        if !self.section.is_empty() {
            write!(f, "[{}] ", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.message)
    }
}

/// All findings of one check.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings {
    rows: Vec<Finding>,
    dropped: usize,
}

impl Findings {
    /// Adds a finding. Beyond [`MAX_FINDINGS`] it is only counted, which bounds the memory that
    /// malicious text can take.
    pub fn push(&mut self, finding: Finding) {
        if self.rows.len() < MAX_FINDINGS {
            self.rows.push(finding);
        } else {
            self.dropped += 1;
        }
    }

    /// Returns the findings that were kept; sorted if [`Findings::sort`] was called.
    pub fn rows(&self) -> &[Finding] {
        &self.rows
    }

    /// Returns whether there are no findings.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns whether a finding is an error. Findings that were only counted are taken for errors.
    pub fn has_errors(&self) -> bool {
        self.dropped > 0 || self.rows.iter().any(|f| f.level == Level::Error)
    }

    /// Sorts the findings by line, then section and key.
    pub fn sort(&mut self) {
        self.rows.sort_by(|a, b| sort_key(a).cmp(&sort_key(b)));
    }
}

/// Returns the sort key of a finding: line, section and key.
fn sort_key(f: &Finding) -> (u32, &str, &str) {
    (f.line, &f.section, &f.key)
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for row in &self.rows {
            writeln!(f, "{row}")?;
        }
        if self.dropped > 0 {
            writeln!(f, "and {} more", self.dropped)?;
        }
        Ok(())
    }
}

impl Error for Findings {}
