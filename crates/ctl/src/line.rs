//! Parser for the log lines of nodes.
//!
//! Lines of several nodes may arrive in any order, with any text before the JSON object, such as a
//! node's name and a time. Lines that can't be parsed are skipped and counted.

use crate::failure::{Result, input};
use serde::Serialize;
use serde_json::{Map, Value};
use std::fmt;
use std::io::BufRead;

/// One event in the log of a node.
#[derive(Debug)]
pub struct Line {
    /// Text before the JSON object, such as the node's name.
    pub prefix: String,
    /// Unix time in milliseconds.
    pub time: u64,
    /// Kind of the event.
    pub event: String,
    /// All fields but the time and the kind.
    pub fields: Map<String, Value>,
}

impl Line {
    /// Takes the time and the event out of `fields`; `None` if either is missing or of another
    /// type.
    fn from_fields(mut fields: Map<String, Value>, prefix: &str) -> Option<Self> {
        let time = fields.remove("time")?.as_u64()?;
        let event = fields.remove("event")?.as_str()?.to_owned();
        Some(Self {
            prefix: prefix.trim().to_owned(),
            time,
            event,
            fields,
        })
    }

    /// Returns the string in field `name`; empty if there is none.
    pub fn text(&self, name: &str) -> &str {
        let value = self.fields.get(name).and_then(Value::as_str);
        value.unwrap_or_default()
    }

    /// Returns the unsigned integer in field `name`, if there is one.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name)?.as_u64()
    }
}

/// Counts of lines that were skipped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Skipped {
    /// Lines without a JSON object, or whose object is not an event of a node.
    pub foreign: u64,
    /// Lines whose JSON object is truncated or mixed with other text.
    #[serde(rename = "cut")]
    pub malformed: u64,
    /// Number of the first malformed line, counted from 1; 0 if there is none.
    #[serde(rename = "first_cut")]
    pub first_malformed: u64,
}

impl fmt::Display for Skipped {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            foreign,
            malformed,
            first_malformed,
        } = self;
        write!(
            f,
            "{foreign} lines of other origin, {malformed} cut or mixed"
        )?;
        match first_malformed {
            0 => Ok(()),
            line => write!(f, ", the first of them line {line}"),
        }
    }
}

/// Iterator over the events in an input, which counts the lines that it skips.
///
/// A read error ends the iteration; [`Reader::finish`] reports it.
#[derive(Debug)]
pub struct Reader<R> {
    input: R,
    name: String,
    line_number: u64,
    parsed: u64,
    skipped: Skipped,
    error: Option<std::io::Error>,
}

impl<R: BufRead> Reader<R> {
    /// Creates a reader of `input`; error messages call it `name`.
    pub fn new(input: R, name: impl Into<String>) -> Self {
        Self {
            input,
            name: name.into(),
            line_number: 0,
            parsed: 0,
            skipped: Skipped::default(),
            error: None,
        }
    }

    /// Returns the counts of skipped lines; an error if reading failed or the input had no event of
    /// a node.
    pub fn finish(self) -> Result<Skipped> {
        let Self {
            name,
            line_number,
            parsed,
            skipped,
            error,
            ..
        } = self;
        if let Some(error) = error {
            let place = format!("{name}, after line {line_number}");
            return Err(input(eyre::Report::new(error).wrap_err(place)));
        }
        if parsed == 0 {
            return Err(input(eyre::eyre!(
                "{name}: none of its {line_number} lines is an event of a node: {skipped}"
            )));
        }
        Ok(skipped)
    }

    /// Parses one line; counts it as skipped, unless it is empty, if it isn't an event.
    fn parse(&mut self, text: &str) -> Option<Line> {
        if text.is_empty() {
            return None;
        }
        let Some(start) = text.find('{') else {
            self.skipped.foreign += 1;
            return None;
        };
        let Ok(fields) = serde_json::from_str(&text[start..]) else {
            self.skipped.malformed += 1;
            if self.skipped.first_malformed == 0 {
                self.skipped.first_malformed = self.line_number;
            }
            return None;
        };
        let line = Line::from_fields(fields, &text[..start]);
        match line {
            Some(_) => self.parsed += 1,
            None => self.skipped.foreign += 1,
        }
        line
    }
}

impl<R: BufRead> Iterator for Reader<R> {
    type Item = Line;

    fn next(&mut self) -> Option<Line> {
        let mut bytes = Vec::new();
        loop {
            bytes.clear();
            match self.input.read_until(b'\n', &mut bytes) {
                Ok(0) => return None,
                Ok(_) => self.line_number += 1,
                Err(error) => {
                    self.error = Some(error);
                    return None;
                }
            }
            let text = String::from_utf8_lossy(&bytes);
            if let Some(line) = self.parse(text.trim_end()) {
                return Some(line);
            }
        }
    }
}
