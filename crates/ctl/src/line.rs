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
    pub from: String,
    /// Unix time in milliseconds.
    pub time: u64,
    /// What kind of event it tells.
    pub event: String,
    /// All else.
    pub fields: Map<String, Value>,
}

impl Line {
    fn of(mut fields: Map<String, Value>, from: &str) -> Option<Self> {
        let time = fields.remove("time")?.as_u64()?;
        let event = fields.remove("event")?.as_str()?.to_owned();
        Some(Self {
            from: from.trim().to_owned(),
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
pub struct Unread {
    /// Lines without a JSON object, or whose object tells no event of a node.
    pub foreign: u64,
    /// Lines whose object ends too early or is mixed with other text.
    pub cut: u64,
    /// Number of the first line that is cut, from 1; 0 if there is none.
    pub first_cut: u64,
}

impl fmt::Display for Unread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            foreign,
            cut,
            first_cut,
        } = self;
        write!(f, "{foreign} lines of other origin, {cut} cut or mixed")?;
        match first_cut {
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
    number: u64,
    read: u64,
    unread: Unread,
    failure: Option<std::io::Error>,
}

impl<R: BufRead> Reader<R> {
    /// A reader of `input`, which is called `name` in errors.
    pub fn new(input: R, name: impl Into<String>) -> Self {
        Self {
            input,
            name: name.into(),
            number: 0,
            read: 0,
            unread: Unread::default(),
            failure: None,
        }
    }

    /// What was left out; an error if the input broke or held no line of a node.
    pub fn end(self) -> Result<Unread> {
        let Self {
            name,
            number,
            read,
            unread,
            failure,
            ..
        } = self;
        if let Some(error) = failure {
            let place = format!("{name}, after line {number}");
            return Err(input(eyre::Report::new(error).wrap_err(place)));
        }
        if read == 0 {
            return Err(input(eyre::eyre!(
                "{name}: none of {number} lines is a node's: {unread}"
            )));
        }
        Ok(unread)
    }

    fn parse(&mut self, text: &str) -> Option<Line> {
        if text.is_empty() {
            return None;
        }
        let Some(start) = text.find('{') else {
            self.unread.foreign += 1;
            return None;
        };
        let Ok(fields) = serde_json::from_str(&text[start..]) else {
            self.unread.cut += 1;
            if self.unread.first_cut == 0 {
                self.unread.first_cut = self.number;
            }
            return None;
        };
        let line = Line::of(fields, &text[..start]);
        match line {
            Some(_) => self.read += 1,
            None => self.unread.foreign += 1,
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
                Ok(_) => self.number += 1,
                Err(error) => {
                    self.failure = Some(error);
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
