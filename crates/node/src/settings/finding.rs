//! What is wrong with settings, with its place.

use std::fmt;

/// A finding.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// File.
    pub file: String,
    /// Line, from 1; 0 for the whole file.
    pub line: usize,
    /// Section, or empty.
    pub section: String,
    /// Key, or empty.
    pub key: String,
    /// What is wrong.
    pub message: String,
}

impl Finding {
    /// A finding about a whole file.
    pub fn of_file(file: &str, message: impl Into<String>) -> Self {
        Self {
            file: file.to_owned(),
            line: 0,
            section: String::new(),
            key: String::new(),
            message: message.into(),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:", self.file)?;
        if self.line > 0 {
            write!(f, "{}:", self.line)?;
        }
        if !self.section.is_empty() {
            write!(f, " [{}]", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, " {}:", self.key)?;
        }
        write!(f, " {}", self.message)
    }
}
