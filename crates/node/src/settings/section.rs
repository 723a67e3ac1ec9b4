//! Reader of one section, which also reports the keys that the section does not have.

use super::finding::Finding;
use super::text::{Entry, Text};
use super::value;

/// Minimum Jaro-Winkler similarity, from 0 to 1, at which a known name is suggested in place of an
/// unknown one.
const MIN_SIMILARITY: f64 = 0.75;

/// A section being read. It remembers the keys that were requested.
pub struct Section<'a> {
    text: &'a Text,
    name: &'static str,
    known: Vec<&'static str>,
}

impl<'a> Section<'a> {
    /// Creates a reader of the section called `name`, which may be missing from the text.
    pub fn new(text: &'a Text, name: &'static str) -> Self {
        Self {
            text,
            name,
            known: Vec::new(),
        }
    }

    /// Returns the entries of the section.
    pub fn entries(&self) -> impl Iterator<Item = &'a Entry> {
        let name = self.name;
        self.text.entries.iter().filter(move |e| e.section == name)
    }

    /// Returns the value of `key` if it is present and valid; adds a finding if it is invalid.
    pub fn optional<T>(
        &mut self,
        key: &'static str,
        parse: impl Fn(&str) -> value::Result<T>,
        findings: &mut Vec<Finding>,
    ) -> Option<T> {
        self.known.push(key);
        let entry = self.entries().find(|e| e.key == key)?;
        match parse(&entry.value) {
            Ok(value) => Some(value),
            Err(message) => {
                findings.push(self.finding_at(entry.line, key, message));
                None
            }
        }
    }

    /// Returns the value of `key`, or `default` if it is absent or invalid; adds a finding if it is
    /// invalid.
    pub fn value_or<T>(
        &mut self,
        key: &'static str,
        default: T,
        parse: impl Fn(&str) -> value::Result<T>,
        findings: &mut Vec<Finding>,
    ) -> T {
        self.optional(key, parse, findings).unwrap_or(default)
    }

    /// Returns the value of `key`; adds a finding if it is absent or invalid.
    pub fn required<T>(
        &mut self,
        key: &'static str,
        parse: impl Fn(&str) -> value::Result<T>,
        findings: &mut Vec<Finding>,
    ) -> Option<T> {
        if !self.entries().any(|e| e.key == key) {
            self.known.push(key);
            let line = self.line();
            findings.push(self.finding_at(line, key, "is missing"));
            return None;
        }
        self.optional(key, parse, findings)
    }

    /// Creates a finding about `key`, at its line or, if it is absent, at the line of the section.
    pub fn finding_for(&self, key: &str, message: impl Into<String>) -> Finding {
        let entry = self.entries().find(|e| e.key == key);
        let line = entry.map_or(self.line(), |e| e.line);
        self.finding_at(line, key, message)
    }

    /// Adds a finding for every key of the section that was not requested.
    pub fn finish(self, findings: &mut Vec<Finding>) {
        for entry in self.entries() {
            if !self.known.contains(&entry.key.as_str()) {
                let message = unknown_name("key", &entry.key, &self.known);
                findings.push(self.finding_at(entry.line, &entry.key, message));
            }
        }
    }

    fn line(&self) -> usize {
        let found = self
            .text
            .sections
            .iter()
            .find(|(name, _)| name == self.name);
        found.map_or(0, |(_, line)| *line)
    }

    fn finding_at(&self, line: usize, key: &str, message: impl Into<String>) -> Finding {
        Finding {
            file: self.text.file.clone(),
            line,
            section: self.name.to_owned(),
            key: key.to_owned(),
            message: message.into(),
        }
    }
}

/// Adds a finding for every section that is not among `known`.
pub fn unknown_sections(text: &Text, known: &[&str], findings: &mut Vec<Finding>) {
    let unknown = text
        .sections
        .iter()
        .filter(|(name, _)| !known.contains(&name.as_str()));
    for (name, line) in unknown {
        // The parser always reports a section without a name. `stray_keys` reports its keys.
        if name.is_empty() {
            continue;
        }
        findings.push(Finding {
            line: *line,
            section: name.clone(),
            ..Finding::of_file(&text.file, unknown_name("section", name, known))
        });
    }
}

/// Adds a finding for every key before the first section.
pub fn stray_keys(text: &Text, findings: &mut Vec<Finding>) {
    let stray = text.entries.iter().filter(|e| e.section.is_empty());
    findings.extend(stray.map(|entry| Finding {
        line: entry.line,
        key: entry.key.clone(),
        ..Finding::of_file(&text.file, "is before the first section")
    }));
}

/// Returns the message for an unknown name, with the most similar known name if there is one.
fn unknown_name(what: &str, name: &str, known: &[&str]) -> String {
    let closest = known
        .iter()
        .map(|k| (strsim::jaro_winkler(name, k), k))
        .max_by(|a, b| a.0.total_cmp(&b.0));
    match closest {
        Some((similarity, closest)) if similarity >= MIN_SIMILARITY => {
            format!("unknown {what}; did you mean {closest}?")
        }
        _ => format!("unknown {what}"),
    }
}
