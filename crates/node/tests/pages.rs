//! Settings that the operators' pages name. Guards against advice that can't be followed: a page advised
//! to change a field of the program that no settings file has.

use node::hosted::settings as hosted;
use node::settings;
use std::fs;
use std::path::{Path, PathBuf};

/// Words before the name of a setting that an operator is to change or to look at.
const VERBS: [&str; 9] = [
    "change", "compare", "decrease", "increase", "lengthen", "lower", "raise", "set", "shorten",
];
/// Header of a table whose first column has sections, and its second one their keys.
const SECTION_TABLE: &str = "| section | keys |";

/// Returns the operators' pages: their names and texts.
fn pages() -> Vec<(String, String)> {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs");
    let folder = fs::read_dir(docs.join("operators")).expect("a folder");
    let files = folder.map(|file| file.expect("a file").path());
    let files = files.chain([docs.join("OPERATIONS.md")]);
    let read = |file: PathBuf| {
        let text = fs::read_to_string(&file).expect("a page");
        (file.display().to_string(), text)
    };
    files.map(read).collect()
}

/// Returns whether the settings file of a node, or of a hosted node, may have this key.
fn exists(section: &str, key: &str) -> bool {
    let text = format!("[{section}]\n{key} = x\n");
    let findings = [
        settings::read("page", &text).err(),
        hosted::read("page", &text).err(),
    ];
    let unknown = |findings: &Vec<settings::finding::Finding>| {
        findings.iter().any(|f| f.message.starts_with("unknown"))
    };
    findings
        .iter()
        .any(|f| f.as_ref().is_none_or(|f| !unknown(f)))
}

/// Parses `[section] key`.
fn setting(span: &str) -> Option<(&str, &str)> {
    span.strip_prefix('[')?.split_once("] ")
}

/// Returns the texts in backticks of a line, each with the word before it.
fn spans(line: &str) -> Vec<(&str, &str)> {
    let parts: Vec<&str> = line.split('`').collect();
    let pairs = parts.chunks_exact(2);
    pairs
        .map(|pair| {
            (
                pair[0].split_whitespace().next_back().unwrap_or(""),
                pair[1],
            )
        })
        .collect()
}

/// Returns what is wrong with the settings that a line names.
fn faults(line: &str) -> Vec<String> {
    let mut faults = Vec::new();
    for (word, span) in spans(line) {
        match setting(span) {
            Some((section, key)) if exists(section, key) => {}
            Some(_) => faults.push(format!("{span} does not exist")),
            None if VERBS.contains(&word) => {
                faults.push(format!("{word} {span}: no `[section] key`"))
            }
            None if span.ends_with("::Settings") || span.ends_with("::Limits") => {
                faults.push(format!("{span} is no section of a settings file"));
            }
            None => {}
        }
    }
    faults
}

#[test]
fn named_settings_exist() {
    let pages = pages();
    let mut named = 0;
    let mut wrong = Vec::new();
    for (page, text) in &pages {
        for line in text.lines() {
            named += spans(line)
                .iter()
                .filter(|(_, span)| setting(span).is_some())
                .count();
            wrong.extend(
                faults(line)
                    .into_iter()
                    .map(|fault| format!("{page}: {fault}")),
            );
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
    assert!(named > 0, "no setting is named");
}

#[test]
fn tables_of_sections_list_keys_that_exist() {
    let mut listed = 0;
    for (page, text) in pages() {
        let rows = text.lines().skip_while(|line| *line != SECTION_TABLE);
        for row in rows.skip(2).take_while(|line| line.starts_with('|')) {
            let cells: Vec<&str> = row.split('|').collect();
            for (_, section) in spans(cells[1]) {
                let section = section.trim_matches(['[', ']']);
                for (_, key) in spans(cells[2]) {
                    assert!(exists(section, key), "{page}: [{section}] {key}");
                    listed += 1;
                }
            }
        }
    }
    assert!(listed > 0, "no table of sections");
}

#[test]
fn settings_that_do_not_exist_are_found() {
    assert!(exists("callers", "idle_time") && exists("store", "heartbeat"));
    assert!(!exists("callers", "idle_timeout") && !exists("claims", "append_interval"));
    for line in [
        "raise `append_interval` of claims",
        "see `[peers] kye`",
        "a field of `claim::Settings`",
    ] {
        assert_eq!(faults(line).len(), 1, "{line}");
    }
}
