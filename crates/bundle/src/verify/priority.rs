//! Table of priorities.

use super::fields::Fields;
use super::names::Names;
use crate::finding::Findings;
use crate::priority::Priority;
use crate::section::{Kind, Section};
use crate::sections::Sections;
use std::collections::BTreeMap;

/// Returns the names sorted by rank, most urgent first; those without a valid rank come last.
pub(super) fn ranked(sections: &Sections) -> Vec<&str> {
    let mut rows: Vec<(u32, &str)> = sections.of_kind(Kind::Priority).map(|s| rank(s)).collect();
    rows.sort_unstable();
    rows.into_iter().map(|(_, name)| name).collect()
}

/// Returns the rank and name of a section; the maximum rank if it has no valid one.
fn rank(section: &Section) -> (u32, &str) {
    let rank = section.pair("rank").and_then(|p| p.value.parse().ok());
    (rank.unwrap_or(u32::MAX), &section.key().name)
}

/// Builds the table, sorted by rank; two priorities with the same rank are an error.
pub(super) fn table(
    sections: &Sections,
    names: &Names<'_>,
    findings: &mut Findings,
) -> Vec<Priority> {
    let mut rows: Vec<Priority> = Vec::new();
    let mut ranks: BTreeMap<u32, String> = BTreeMap::new();
    for section in sections.of_kind(Kind::Priority) {
        let mut fields = Fields::new(section, findings);
        let row = row(&mut fields);
        if let Some(other) = ranks.insert(row.rank, row.name.clone()) {
            fields.error("rank", format_args!("is the rank of `{other}` too"));
        }
        rows.push(row);
    }
    if rows.is_empty() {
        findings.push(no_priority());
    }
    rows.sort_by_key(|r| names.priorities.get(&r.name));
    check_urgent_first(sections, &rows, findings);
    rows
}

/// Reads the row of one section.
fn row(fields: &mut Fields<'_>) -> Priority {
    let urgent = fields.flag("urgent", false);
    let weight = match fields.optional("weight") {
        None if urgent => 0,
        _ => fields.count("weight"),
    };
    Priority {
        name: fields.name(),
        rank: fields.read("rank", "a whole number").unwrap_or_default(),
        urgent,
        weight,
    }
}

/// Checks that urgent priorities have the lowest ranks; otherwise the strict precedence of urgent
/// priorities would contradict the ranks.
fn check_urgent_first(sections: &Sections, rows: &[Priority], findings: &mut Findings) {
    let mut rest = rows.iter().skip_while(|r| r.urgent);
    let Some(first) = rest.next() else { return };
    for misplaced in rest.filter(|r| r.urgent) {
        let mut all = sections.of_kind(Kind::Priority);
        if let Some(section) = all.find(|s| s.key().name == misplaced.name) {
            let message = format!("urgent, but ranked after `{}`, which is not", first.name);
            Fields::new(section, findings).error("rank", message);
        }
    }
}

/// Returns the finding for a bundle without priorities.
fn no_priority() -> crate::finding::Finding {
    crate::finding::Finding {
        level: crate::finding::Level::Error,
        line: 0,
        section: "priority".into(),
        key: String::new(),
        message: "there is no priority; requests need at least one".into(),
    }
}
