//! Parser of INI text that records the line of each section and key.
//!
//! The INI library does not report lines, so a separate scan of the text finds them.

use super::Result;
use super::finding::Finding;
use ini::{Ini, ParseOption};

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Line number from 1.
    pub line: usize,
    /// Name of the section.
    pub section: String,
    /// Name of the key.
    pub key: String,
    /// Value without surrounding white space.
    pub value: String,
}

/// The parsed text of a settings file.
#[derive(Clone, Debug)]
pub struct Text {
    /// Name of the file.
    pub file: String,
    /// Sections with their line numbers, in the order of the file.
    pub sections: Vec<(String, usize)>,
    /// Entries, in the order of the file.
    pub entries: Vec<Entry>,
    /// Findings about sections and keys that occur more than once.
    pub findings: Vec<Finding>,
}

impl Text {
    /// Sets a value that the command line gives, in place of that of the file.
    pub fn set(&mut self, section: &str, key: &str, value: &str) {
        let is_same = |e: &&mut Entry| e.section == section && e.key == key;
        match self.entries.iter_mut().find(is_same) {
            Some(entry) => entry.value = value.to_owned(),
            None => self.entries.push(Entry {
                line: 0,
                section: section.to_owned(),
                key: key.to_owned(),
                value: value.to_owned(),
            }),
        }
    }

    /// Parses `content`. `file` is the name of the file in findings.
    ///
    /// # Errors
    ///
    /// Returns findings if the text is not INI. Duplicates are no errors here: they are in
    /// `findings` of the result.
    pub fn parse(file: &str, content: &str) -> Result<Self> {
        let lines = scan_lines(content);
        // Malformed lines are found before the library parses the text: it takes a line without a
        // separator for the beginning of the next line's key, or reports the end of the file as
        // the place of the error.
        let malformed = malformed_lines(file, &lines);
        if !malformed.is_empty() {
            return Err(malformed);
        }
        // Escape sequences are disabled so that backslashes in paths are kept.
        let option = ParseOption {
            enabled_escape: false,
            ..ParseOption::default()
        };
        let ini =
            Ini::load_from_str_opt(content, option).map_err(|e| vec![parse_failure(file, &e)])?;
        let mut text = Self {
            file: file.to_owned(),
            sections: Vec::new(),
            entries: Vec::new(),
            findings: duplicates(file, &lines),
        };
        for (section, properties) in &ini {
            let section = section.unwrap_or_default();
            for (key, value) in properties.iter() {
                text.entries.push(Entry {
                    line: line_of(&lines, section, Some(key)),
                    section: section.to_owned(),
                    key: key.to_owned(),
                    value: value.trim().to_owned(),
                });
            }
            let line = line_of(&lines, section, None);
            text.sections.push((section.to_owned(), line));
        }
        Ok(text)
    }
}

/// A line with a section header or a key, as found by the scan. A section header has no key.
struct Line {
    number: usize,
    section: String,
    key: Option<String>,
    /// Whether the line is a section header or a key with a separator.
    well_formed: bool,
}

/// Finds the lines of section headers and keys. Empty lines and comments are skipped.
fn scan_lines(content: &str) -> Vec<Line> {
    let mut section = String::new();
    let mut lines = Vec::new();
    for (i, text) in content.lines().enumerate() {
        let text = text.trim();
        if text.is_empty() || text.starts_with(['#', ';']) {
            continue;
        }
        let (key, well_formed) = match text.strip_prefix('[').and_then(|t| t.split_once(']')) {
            Some((name, _)) => {
                section = name.trim().to_owned();
                (None, true)
            }
            None => {
                let key = text.split(['=', ':']).next().map(|k| k.trim().to_owned());
                (key, text.contains(['=', ':']))
            }
        };
        lines.push(Line {
            number: i + 1,
            section: section.clone(),
            key,
            well_formed,
        });
    }
    lines
}

/// Returns the line number of a key, or of a section header if `key` is `None`; 0 if not found.
fn line_of(lines: &[Line], section: &str, key: Option<&str>) -> usize {
    let found = lines
        .iter()
        .find(|l| l.section == section && l.key.as_deref() == key);
    found.map_or(0, |l| l.number)
}

/// Returns findings about lines that are neither section headers nor keys with a separator.
fn malformed_lines(file: &str, lines: &[Line]) -> Vec<Finding> {
    let malformed = lines.iter().filter(|line| !line.well_formed);
    malformed
        .map(|line| Finding {
            line: line.number,
            section: line.section.clone(),
            ..Finding::of_file(file, "a line that is neither a section nor KEY = VALUE")
        })
        .collect()
}

/// Returns findings about sections and keys that occurred on an earlier line.
fn duplicates(file: &str, lines: &[Line]) -> Vec<Finding> {
    let repeated = lines.iter().enumerate().filter(|(i, line)| {
        let preceding = &lines[..*i];
        preceding
            .iter()
            .any(|b| b.section == line.section && b.key == line.key)
    });
    repeated
        .map(|(_, line)| Finding {
            file: file.to_owned(),
            line: line.number,
            section: line.section.clone(),
            key: line.key.clone().unwrap_or_default(),
            message: "occurs more than once".to_owned(),
        })
        .collect()
}

/// Converts an error of the INI library, whose line numbers begin at 0, into a finding.
fn parse_failure(file: &str, error: &ini::ParseError) -> Finding {
    Finding {
        line: error.line + 1,
        ..Finding::of_file(file, format!("can't be parsed: {}", error.msg))
    }
}
