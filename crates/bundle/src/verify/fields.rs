//! Typed access to the values of one section, with findings for missing or invalid values.

use super::names::{Id, Index};
use crate::finding::{Finding, Findings, Level};
use crate::section::{Pair, Section};
use std::collections::BTreeSet;
use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

/// A section whose values are read, with the findings about it.
pub(super) struct Fields<'a> {
    section: &'a Section,
    findings: &'a mut Findings,
}

impl<'a> Fields<'a> {
    /// Creates a reader of `section` that adds its findings to `findings`.
    pub fn new(section: &'a Section, findings: &'a mut Findings) -> Self {
        Self { section, findings }
    }

    /// Returns the name of the section.
    pub fn name(&self) -> String {
        self.section.key().name.clone()
    }

    /// Adds an error about `key`, or about the whole section if `key` is empty.
    pub fn error(&mut self, key: &str, message: impl Display) {
        self.push(Level::Error, key, message);
    }

    /// Adds a warning about `key`.
    pub fn warn(&mut self, key: &str, message: impl Display) {
        self.push(Level::Warning, key, message);
    }

    /// Adds a finding at the line of `key`, or of the section if `key` is not set.
    fn push(&mut self, level: Level, key: &str, message: impl Display) {
        let pair = self.section.pair(key);
        self.findings.push(Finding {
            level,
            line: pair.map_or(self.section.line(), |p| p.line),
            section: self.section.key().to_string(),
            key: key.into(),
            message: message.to_string(),
        });
    }

    /// Returns the value of `key`, if it is set and not empty.
    pub fn optional(&self, key: &str) -> Option<&'a str> {
        let value = self.section.pair(key).map(|p: &Pair| &*p.value);
        value.filter(|v| !v.is_empty())
    }

    /// Returns the value of `key`; an error if it isn't set.
    pub fn text(&mut self, key: &str) -> Option<&'a str> {
        let value = self.optional(key);
        if value.is_none() {
            self.error(key, "is missing");
        }
        value
    }

    /// Returns the value of `key` parsed as `T`; an error if it isn't set or can't be parsed.
    /// `what` describes a valid value.
    pub fn read<T: FromStr>(&mut self, key: &str, what: &str) -> Option<T> {
        let text = self.text(key)?;
        let value = text.parse().ok();
        if value.is_none() {
            self.error(key, format_args!("`{text:.80}` is not {what}"));
        }
        value
    }

    /// Returns the value of `key`, a whole number of at least 1; 0 after an error.
    pub fn count<T: FromStr + Default + PartialEq>(&mut self, key: &str) -> T {
        let value = self
            .read(key, "a whole number in range")
            .unwrap_or_default();
        if value == T::default() && self.optional(key) == Some("0") {
            self.error(key, "must be at least 1");
        }
        value
    }

    /// Returns the value of `key`, a finite number above zero; 0 after an error.
    pub fn rate(&mut self, key: &str) -> f64 {
        let Some(value) = self.read::<f64>(key, "a number") else {
            return 0.0;
        };
        if !value.is_finite() || value <= 0.0 {
            self.error(key, "must be a finite number above 0");
            return 0.0;
        }
        value
    }

    /// Returns the value of `key`, `yes` or `no`; `default` if it isn't set or after an error.
    pub fn flag(&mut self, key: &str, default: bool) -> bool {
        match self.optional(key) {
            None => default,
            Some("yes") => true,
            Some("no") => false,
            Some(other) => {
                self.error(key, format_args!("`{other:.80}` is neither yes nor no"));
                default
            }
        }
    }

    /// Returns the value of `key`, a time such as `500us`, `0.5ms` or `2s`; zero after an error.
    pub fn time(&mut self, key: &str) -> Duration {
        let Some(text) = self.text(key) else {
            return Duration::ZERO;
        };
        let time = duration(text);
        if time.is_none() {
            self.error(
                key,
                format_args!("`{text:.80}` is not a time such as 500us, 2ms, 1s"),
            );
        }
        time.unwrap_or_default()
    }

    /// Returns the items of the list under `key`; an error for each empty or repeated item.
    pub fn list(&mut self, key: &str) -> Vec<&'a str> {
        let Some(text) = self.optional(key) else {
            return Vec::new();
        };
        let mut seen = BTreeSet::new();
        let mut items = Vec::new();
        for item in text.split(", ") {
            if item.is_empty() {
                self.error(key, "has an empty item");
            } else if !seen.insert(item) {
                self.error(key, format_args!("names `{item:.80}` twice"));
            } else {
                items.push(item);
            }
        }
        items
    }

    /// Returns the id of the row that `key` names; an error if there is none.
    pub fn id<I: Id>(&mut self, key: &str, index: &Index<I>) -> Option<I> {
        let name = self.text(key)?;
        self.lookup(key, name, index)
    }

    /// Returns the ids of the rows that the list under `key` names; an error for each unknown name.
    pub fn ids<I: Id>(&mut self, key: &str, index: &Index<I>) -> Vec<I> {
        let names = self.list(key);
        let ids = names.into_iter().map(|n| self.lookup(key, n, index));
        ids.collect::<Vec<_>>().into_iter().flatten().collect()
    }

    /// Returns the id of `name`; an error that suggests the nearest name if it is unknown.
    pub fn lookup<I: Id>(&mut self, key: &str, name: &str, index: &Index<I>) -> Option<I> {
        let id = index.get(name);
        if id.is_none() {
            let near = index.nearest(name);
            let near = near.map_or_else(String::new, |n| format!("; `{n}` is near"));
            self.error(
                key,
                format_args!("unknown {} `{name:.80}`{near}", index.kind_name()),
            );
        }
        id
    }
}

/// Parses a number with one of the units us, ms, s.
fn duration(text: &str) -> Option<Duration> {
    let units = [("us", 1e-6), ("ms", 1e-3), ("s", 1.0)];
    let (number, unit) = units
        .iter()
        .find_map(|(word, unit)| Some((text.strip_suffix(word)?, unit)))?;
    let seconds: f64 = number.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds * unit).ok()
}
