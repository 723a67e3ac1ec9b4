//! Findings in settings files: each file in `cases` ends with its expected findings, in comment
//! lines that begin with `; expect`.

use node::settings;
use std::fs;
use std::path::Path;

const EXPECT: &str = "; expect ";

fn cases() -> Vec<(String, String)> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/cases");
    let files = fs::read_dir(folder)
        .expect("a folder")
        .map(|f| f.expect("a file"));
    let mut cases: Vec<(String, String)> = files
        .map(|f| {
            let text = fs::read_to_string(f.path()).expect("text");
            (f.file_name().to_string_lossy().into_owned(), text)
        })
        .collect();
    cases.sort();
    cases
}

fn found(name: &str, text: &str) -> Vec<String> {
    match settings::read(name, text) {
        Ok(_) => Vec::new(),
        Err(findings) => findings.iter().map(ToString::to_string).collect(),
    }
}

#[test]
fn every_case_leads_to_its_findings() {
    let cases = cases();
    assert!(cases.len() >= 7);
    for (name, text) in cases {
        let expected: Vec<&str> = text
            .lines()
            .filter_map(|l| l.strip_prefix(EXPECT))
            .collect();
        let found = found(&name, &text);
        assert_eq!(found, expected, "{name}:\n{}", found.join("\n"));
    }
}

#[test]
fn example_is_valid() {
    let example = include_str!("../../../etc/node.ini");
    assert_eq!(found("node.ini", example), Vec::<String>::new());
}

// Randomly mutated valid settings lead to findings, never to a panic: an operator's mistake must
// not look like a bug in the program.
#[test]
fn malformed_settings_never_panic() {
    let good = include_str!("cases/good.ini");
    let alphabet: Vec<char> = "[]=:;#\"'\\\n\r\t ä0-\u{0}9zs".chars().collect();
    let mut state = 7_u64;
    // A linear congruential generator suffices here.
    let mut draw = |limit: usize| {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) as usize % limit
    };
    let mut rejected = 0;
    for _ in 0..5000 {
        let mut text: Vec<char> = good.chars().collect();
        for _ in 0..=draw(6) {
            let at = draw(text.len().max(1));
            if at >= text.len() {
                break;
            }
            match draw(4) {
                0 => text.insert(at, alphabet[draw(alphabet.len())]),
                1 => drop(text.remove(at)),
                2 => text.truncate(at.max(1)),
                _ => text[at] = alphabet[draw(alphabet.len())],
            }
        }
        let text: String = text.into_iter().collect();
        rejected += usize::from(!found("mutated.ini", &text).is_empty());
    }
    assert!(rejected > 2500, "{rejected}");
}
