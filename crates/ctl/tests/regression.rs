//! Tests of `tools/regression`, the script that runs the users' deployments through their bench. A
//! stand-in replaces the bench.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const SITES: [&str; 5] = [
    "large/ql-menus-large",
    "further/guruhaat-prod",
    "further-grown/guruhaat-prod-grown",
    "grown/ql-menus-grown",
    "grown/tbts-ops-grown",
];

/// Stand-in bench: appends each call to the file `calls`, fails if the file `broken` names the
/// deployment, and prints the contents of the file `says` otherwise.
const BENCH: &str = r#"#!/bin/sh
dir=$(dirname "$0")
echo "$1 $(basename "$2")" >>"$dir/calls"
if [ -f "$dir/broken" ] && grep -q "$(basename "$2")" "$dir/broken"; then exit 1; fi
cat "$dir/says"
"#;

/// Temporary folder with the stand-in bench and empty deployment files.
struct Fixture {
    dir: PathBuf,
}

impl Fixture {
    fn new(name: &str) -> Self {
        let name = format!("regression-{name}-{}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        for site in SITES {
            let file = dir.join("system").join(format!("{site}.toml"));
            fs::create_dir_all(file.parent().unwrap()).unwrap();
            fs::write(file, "").unwrap();
        }
        let bench = dir.join("bench");
        fs::write(&bench, BENCH).unwrap();
        fs::set_permissions(&bench, fs::Permissions::from_mode(0o755)).unwrap();
        let fixture = Self { dir };
        fixture.set_output("score on the standard days of x: 0.900\nGATE passed\n");
        fixture
    }

    /// Sets what the bench prints.
    fn set_output(&self, text: &str) {
        fs::write(self.dir.join("says"), text).unwrap();
    }

    /// Runs the script.
    fn run(&self) -> Output {
        let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../tools/regression");
        let dir = &self.dir;
        let args = [dir.join("bench"), dir.join("system"), dir.join("out")];
        Command::new("bash")
            .arg(script)
            .args(args)
            .output()
            .unwrap()
    }

    /// Returns the calls that the bench got, in order.
    fn calls(&self) -> Vec<String> {
        let calls = fs::read_to_string(self.dir.join("calls")).unwrap_or_default();
        calls.lines().map(str::to_owned).collect()
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        // A folder that can't be removed does no harm beyond clutter among the temporary files.
        let _ = fs::remove_dir_all(&self.dir);
    }
}

// Guards against repeating hours of completed runs because one of them was interrupted.
#[test]
fn interrupted_run_resumes_with_the_missing_parts() {
    let fixture = Fixture::new("again");
    fs::write(fixture.dir.join("broken"), "guruhaat-prod.toml").unwrap();
    let first = fixture.run();
    assert_eq!(first.status.code(), Some(1), "{first:?}");
    let table = String::from_utf8(first.stdout).unwrap();
    assert_eq!(table.matches("not played to its end").count(), 2, "{table}");
    assert_eq!(fixture.calls().len(), 2 * SITES.len());
    fs::remove_file(fixture.dir.join("broken")).unwrap();
    let second = fixture.run();
    assert!(second.status.success(), "{second:?}");
    let resumed = &fixture.calls()[2 * SITES.len()..];
    assert_eq!(
        resumed,
        ["score guruhaat-prod.toml", "hunt guruhaat-prod.toml"]
    );
    let table = String::from_utf8(second.stdout).unwrap();
    assert_eq!(
        table.matches("GATE passed").count(),
        2 * SITES.len(),
        "{table}"
    );
}

// Guards against merging a change whose gate failed or that broke a rule.
#[test]
fn failed_gate_or_broken_rule_exits_with_code_1() {
    for text in [
        "GATE failed\n",
        "mix  7/41  0.00  BROKEN: CONFIG 3 (else 0.48)\n",
    ] {
        let fixture = Fixture::new(&text[..4].to_lowercase().replace(' ', "-"));
        fixture.set_output(text);
        let output = fixture.run();
        assert_eq!(output.status.code(), Some(1), "{text} {output:?}");
    }
}

#[test]
fn missing_deployment_is_refused_before_any_run() {
    let fixture = Fixture::new("input");
    fs::remove_file(fixture.dir.join("system/grown/tbts-ops-grown.toml")).unwrap();
    let output = fixture.run();
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    assert!(fixture.calls().is_empty());
}
