//! Lines of nodes' logs.
//!
//! Lines of several nodes may come in any order, with any text before the JSON object, such as a
//! node's name and a time. What is no such line is left out.

use serde_json::{Map, Value};
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
    /// The lines that can be read.
    pub fn all(input: impl BufRead) -> impl Iterator<Item = Self> {
        let lines = input.lines().map_while(std::result::Result::ok);
        lines.filter_map(|text| Self::parse(&text))
    }

    fn parse(text: &str) -> Option<Self> {
        let start = text.find('{')?;
        let value: Value = serde_json::from_str(&text[start..]).ok()?;
        let Value::Object(mut fields) = value else {
            return None;
        };
        let time = fields.remove("time")?.as_u64()?;
        let event = fields.remove("event")?.as_str()?.to_owned();
        Some(Self {
            from: text[..start].trim().to_owned(),
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
