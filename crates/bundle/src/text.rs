//! Parser from INI text to sections.
//!
//! rust-ini parses the keys and values but does not report the line of a key, so this module splits
//! the text at section headers, passes one section at a time to rust-ini, and tracks the line
//! numbers. [`crate::verify`] checks whether the sections are consistent.

use crate::finding::{Finding, Findings, Level};
use crate::nearest::nearest;
use crate::section::{Key, Pair, Section};
use crate::sections::{self, Sections};
use ini::{Ini, ParseOption};
use std::borrow::Cow;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Maximum length of a text, in bytes.
pub const MAX_TEXT_LEN: usize = 16 << 20;

/// Disables quotes, escapes and multi-line values, so that each line holds one key and the
/// canonical text parses to the same sections.
const PARSE_OPTIONS: ParseOption = ParseOption {
    enabled_quote: false,
    enabled_escape: false,
    enabled_indented_mutiline_value: false,
    enabled_preserve_key_leading_whitespace: false,
};

/// Header and unparsed lines of one section.
struct Chunk<'a> {
    header: &'a str,
    line: u32,
    body: &'a str,
}

/// Parses bundle text. Collects all findings and returns them if one is an error.
pub fn parse(text: &str) -> Result<Sections, Findings> {
    let mut findings = Findings::default();
    if text.len() > MAX_TEXT_LEN {
        findings.push(error(0, "", format!("longer than {MAX_TEXT_LEN} bytes")));
        return Err(findings);
    }
    let mut all = Sections::default();
    for chunk in chunks(text, &mut findings) {
        let Some(section) = parse_section(chunk.header, chunk.body, chunk.line, &mut findings)
        else {
            continue;
        };
        let line = section.line();
        let header = section.key().to_string();
        if let Some(first) = all.set(Arc::new(section)) {
            let message = format!("defined twice, first in line {}", first.line());
            findings.push(error(line, &header, message));
        }
        if all.len() > sections::MAX_SECTIONS {
            findings.push(error(
                line,
                &header,
                format!("over {} sections", sections::MAX_SECTIONS),
            ));
            break;
        }
    }
    findings.sort();
    if findings.has_errors() {
        Err(findings)
    } else {
        Ok(all)
    }
}

/// Parses one section from its header (without brackets) and the lines below it. `line` is the line
/// of the header. Returns `None` if the header or the body is malformed.
pub fn parse_section(
    header: &str,
    body: &str,
    line: u32,
    findings: &mut Findings,
) -> Option<Section> {
    let key: Key = match header.parse() {
        Ok(key) => key,
        Err(message) => {
            let short: String = header.chars().take(80).collect();
            findings.push(error(line, &short, message));
            return None;
        }
    };
    let header = key.to_string();
    let body = blank_malformed(body, line, &header, findings);
    let lines = key_lines(&body);
    let ini = match Ini::load_from_str_opt(&body, PARSE_OPTIONS) {
        Ok(ini) => ini,
        Err(e) => {
            let at = line + u32::try_from(e.line).unwrap_or(0);
            findings.push(error(at, &header, format!("not INI: {}", e.msg)));
            return None;
        }
    };
    let mut pairs = Vec::new();
    let mut seen = BTreeSet::new();
    let values = ini.iter().flat_map(|(_, properties)| properties.iter());
    for (i, (name, value)) in values.enumerate() {
        let line = lines.get(i).map_or(line, |offset| line + offset);
        let Some(known) = known_key(&key, name, line, findings) else {
            continue;
        };
        if !seen.insert(known) {
            findings.push(at_key(line, &header, known, "set twice".into()));
            continue;
        }
        let value = normalize(value);
        pairs.push(Pair {
            key: known,
            value,
            line,
        });
    }
    Some(Section::new(key, line, pairs))
}

/// Splits the text at section headers.
fn chunks<'a>(text: &'a str, findings: &mut Findings) -> Vec<Chunk<'a>> {
    let mut chunks: Vec<Chunk<'a>> = Vec::new();
    let mut start = 0;
    let mut line = 0;
    for raw in text.split_inclusive('\n') {
        line += 1;
        let trimmed = raw.trim();
        let end = start + raw.len();
        if let Some(rest) = trimmed.strip_prefix('[') {
            let header = rest.strip_suffix(']');
            if header.is_none() {
                findings.push(error(line, "", "section header without `]`".into()));
            }
            let header = header.unwrap_or(rest).trim();
            chunks.push(Chunk {
                header,
                line,
                body: &text[end..end],
            });
        } else if let Some(chunk) = chunks.last_mut() {
            let from = end - raw.len() - chunk.body.len();
            chunk.body = &text[from..end];
        } else if is_pair(trimmed) {
            findings.push(error(line, "", "text before the first section".into()));
        }
        start = end;
    }
    chunks
}

/// Returns the lines below a header with each malformed line reported and replaced by an empty one.
/// rust-ini would stop at the first malformed line and report the line after it.
fn blank_malformed<'a>(
    body: &'a str,
    line: u32,
    header: &str,
    findings: &mut Findings,
) -> Cow<'a, str> {
    let malformed = |l: &str| is_pair(l.trim()) && !l.contains(['=', ':']);
    if !body.lines().any(malformed) {
        return body.into();
    }
    let mut good = String::new();
    for (i, text) in (1..).zip(body.lines()) {
        if malformed(text) {
            let message = format!("`{:.80}` is not `key = value`", text.trim());
            findings.push(error(line + i, header, message));
        } else {
            good += text;
        }
        good.push('\n');
    }
    good.into()
}

/// Returns the line offsets from the header (counted from 1) of the lines with a key.
fn key_lines(body: &str) -> Vec<u32> {
    let numbered = (1..).zip(body.lines());
    numbered
        .filter(|(_, l)| is_pair(l.trim()))
        .map(|(i, _)| i)
        .collect()
}

/// Returns whether a trimmed line is neither blank nor a comment.
fn is_pair(line: &str) -> bool {
    !line.is_empty() && !line.starts_with([';', '#'])
}

/// Returns the known key equal to `name`, or adds a finding if there is none.
fn known_key(key: &Key, name: &str, line: u32, findings: &mut Findings) -> Option<&'static str> {
    let keys = key.kind.keys();
    let found = keys.iter().find(|k| **k == name);
    if found.is_none() {
        let near = nearest(name, keys.iter().copied());
        let near = near.map_or_else(String::new, |n| format!("; `{n}` is near"));
        let message = format!("unknown key `{name:.80}`{near}");
        findings.push(error(line, &key.to_string(), message));
    }
    found.copied()
}

/// Collapses whitespace to single spaces, with none before and one after each comma.
fn normalize(value: &str) -> Box<str> {
    let parts = value.split(',').map(|part| {
        let words: Vec<&str> = part.split_whitespace().collect();
        words.join(" ")
    });
    let parts: Vec<String> = parts.collect();
    parts.join(", ").into()
}

/// Creates an error finding about a section.
pub(crate) fn error(line: u32, section: &str, message: String) -> Finding {
    at_key(line, section, "", message)
}

/// Creates an error finding about a key.
fn at_key(line: u32, section: &str, key: &str, message: String) -> Finding {
    Finding {
        level: Level::Error,
        line,
        section: section.into(),
        key: key.into(),
        message,
    }
}
