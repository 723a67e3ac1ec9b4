//! Findings: what is wrong with a bundle, each with its place.

use serde::{Deserialize, Serialize};
use std::error::Error;
use std::fmt;

/// Most findings that one check keeps; the rest are only counted.
pub const MAX_FINDINGS: usize = 1_000;

/// How bad a finding is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// The bundle can be used, but says something that is likely not meant.
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

/// One finding.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// How bad it is.
    pub level: Level,
    /// Line in the text, from 1; 0 when the text has none (a section out of a delta).
    pub line: u32,
    /// Header of the section, such as `team kitchens`; empty when outside of any.
    pub section: String,
    /// Key within the section; empty when the whole section is meant.
    pub key: String,
    /// What is wrong.
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
    /// Adds a finding; past [`MAX_FINDINGS`] it is only counted, which bounds memory for hostile text.
    pub fn push(&mut self, finding: Finding) {
        if self.rows.len() < MAX_FINDINGS {
            self.rows.push(finding);
        } else {
            self.dropped += 1;
        }
    }

    /// The findings, in the order of [`Findings::sort`] once that was called.
    pub fn rows(&self) -> &[Finding] {
        &self.rows
    }

    /// Whether there is none at all.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Whether one of them is an error.
    pub fn has_errors(&self) -> bool {
        self.dropped > 0 || self.rows.iter().any(|f| f.level == Level::Error)
    }

    /// Orders the findings by line, then section and key.
    pub fn sort(&mut self) {
        self.rows.sort_by(|a, b| sort_key(a).cmp(&sort_key(b)));
    }
}

/// Sort key of a finding.
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
