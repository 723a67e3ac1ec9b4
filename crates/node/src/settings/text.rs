//! INI text with the line of each section and key.
//!
//! The library parses; it does not tell lines, so a scan beside it finds them.

use super::Result;
use super::finding::Finding;
use ini::{Ini, ParseOption};

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Line, from 1.
    pub line: usize,
    /// Section it stands in.
    pub section: String,
    /// Key.
    pub key: String,
    /// Value.
    pub value: String,
}

/// The text of a settings file.
#[derive(Clone, Debug)]
pub struct Text {
    /// Name of the file.
    pub file: String,
    /// Sections and their lines, in order.
    pub sections: Vec<(String, usize)>,
    /// Entries, in order.
    pub entries: Vec<Entry>,
    /// Sections and keys that stand twice.
    pub findings: Vec<Finding>,
}

impl Text {
    /// Parses `content`; it fails only where the text can't be read on.
    pub fn parse(file: &str, content: &str) -> Result<Self> {
        let lines = scan_lines(content);
        // The library takes a line without a separator for the beginning of the next line's key,
        // or tells the end of the file as its place.
        let malformed = malformed_lines(file, &lines);
        if !malformed.is_empty() {
            return Err(malformed);
        }
        // A backslash in a path is a backslash.
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

/// A section's or key's line as the scan finds it; a section has no key.
struct Line {
    number: usize,
    section: String,
    key: Option<String>,
    /// Whether it is a section, or a key with a separator.
    well_formed: bool,
}

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

fn line_of(lines: &[Line], section: &str, key: Option<&str>) -> usize {
    let found = lines
        .iter()
        .find(|l| l.section == section && l.key.as_deref() == key);
    found.map_or(0, |l| l.number)
}

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
            message: "stands twice".to_owned(),
        })
        .collect()
}

fn parse_failure(file: &str, error: &ini::ParseError) -> Finding {
    Finding {
        line: error.line + 1,
        ..Finding::of_file(file, format!("can't be parsed: {}", error.msg))
    }
}
