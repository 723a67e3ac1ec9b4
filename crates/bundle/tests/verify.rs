//! Findings of the text parser and the verifier: each `.ini` file of `cases/` is a bundle, and the
//! `.txt` file beside it lists all expected findings, in order.

use bundle::verify;
use std::fs;
use std::path::Path;

/// Returns all findings of a text, as `wigeonctl check` prints them.
fn findings(text: &str) -> String {
    match bundle::text::parse(text) {
        Ok(sections) => verify::verify(&sections).findings.to_string(),
        Err(findings) => findings.to_string(),
    }
}

#[test]
fn cases() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/cases");
    let mut wrong = Vec::new();
    let mut seen = 0;
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.extension().is_none_or(|e| e != "ini") {
            continue;
        }
        seen += 1;
        let expected = fs::read_to_string(path.with_extension("txt")).unwrap_or_default();
        let found = findings(&fs::read_to_string(&path).unwrap());
        if found != expected {
            wrong.push(format!("{}:\n{found}", path.display()));
        }
    }
    assert!(seen >= 7);
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}
