//! Errors in settings, with the place in the file.

use std::fmt;

/// An error in a settings file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// Name of the file.
    pub file: String,
    /// Line number from 1; 0 if the finding has no line of its own.
    pub line: usize,
    /// Name of the section; empty if there is none.
    pub section: String,
    /// Name of the key; empty if there is none.
    pub key: String,
    /// Description of the error.
    pub message: String,
}

impl Finding {
    /// Creates a finding about a whole file.
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
