//! Lines of nodes' logs.
//!
//! Lines of several nodes may come in any order, with any text before the JSON object, such as a
//! node's name and a time. What is no such line is left out and counted.

use crate::failure::{Result, input};
use serde::Serialize;
use serde_json::{Map, Value};
use std::fmt;
use std::io::BufRead;

/// A line of a log.
#[derive(Debug)]
pub struct Line {
    /// What stands before the object, such as the node's name.
    pub prefix: String,
    /// Unix time in milliseconds.
    pub time: u64,
    /// What kind of event it tells.
    pub event: String,
    /// All else.
    pub fields: Map<String, Value>,
}

impl Line {
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

    /// A text; empty if there is none of this name.
    pub fn text(&self, name: &str) -> &str {
        let value = self.fields.get(name).and_then(Value::as_str);
        value.unwrap_or_default()
    }

    /// A whole number, if there is one of this name.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name)?.as_u64()
    }
}

/// Lines that were left out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Skipped {
    /// Lines without a JSON object, or whose object tells no event of a node.
    pub foreign: u64,
    /// Lines whose object ends too early or is mixed with other text.
    #[serde(rename = "cut")]
    pub malformed: u64,
    /// Number of the first line that is cut, from 1; 0 if there is none.
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

/// Reads lines and counts those that it leaves out.
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
    /// A reader of `input`, which is called `name` in errors.
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

    /// What was left out; an error if the input broke or held no line of a node.
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
                "{name}: none of {line_number} lines is a node's: {skipped}"
            )));
        }
        Ok(skipped)
    }

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
