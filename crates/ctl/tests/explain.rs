//! Tests of `wigeonctl explain`, the timeline of one request.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const LINES: &str = r#"
b {"time":900,"event":"endpoint","run":"e2@1","state":"fails here","offset":5}
a {"time":950,"event":"endpoint","run":"e9@1","state":"gone","offset":6}
a {"time":1400,"event":"ended","id":"r1","route":"chat","status":503,"outcome":"refused","why":"no room","attempts":1}
this line is not JSON, and neither is { this one
a {"time":1100,"event":"failed","id":"r1","attempt":1,"why":"status 503","ran":false,"after_ms":100}
a {"time":1000,"event":"sent","id":"r1","attempt":1,"stages":"e1@1=0-4,e2@1=4-8","catalog":7}
b {"time":1050,"event":"sent","id":"r2","attempt":1,"stages":"e2@1=0-8","catalog":7}
"#;

fn explain(id: &str) -> Output {
    explain_lines(LINES, id)
}

fn explain_lines(lines: &str, id: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_wigeonctl"))
        .args(["explain", id])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child
        .stdin
        .take()
        .unwrap()
        .write_all(lines.as_bytes())
        .unwrap();
    child.wait_with_output().unwrap()
}

// From the logs of all nodes, the timeline must hold the request's own lines in order of time and
// the earlier state changes of the endpoints that it was sent to, but not those of other endpoints.
#[test]
fn prints_the_requests_lines_and_prior_state_changes_in_order() {
    let output = explain("r1");
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).unwrap();
    let events: Vec<&str> = text
        .lines()
        .filter_map(|l| l.split_whitespace().nth(2))
        .collect();
    assert_eq!(events, ["endpoint", "sent", "failed", "ended"], "{text}");
    assert!(
        text.contains("fails here") && !text.contains("e9@1"),
        "{text}"
    );
}

#[test]
fn unknown_id_is_an_error() {
    let output = explain("r3");
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("r3"));
}

// Guards against state changes of other endpoints in the timeline: the run of one can be part of the
// name, or the beginning of the start time, of one that the request was sent to.
#[test]
fn runs_whose_text_is_part_of_another_are_left_out() {
    let lines = r#"
{"time":900,"event":"endpoint","run":"e1@1","state":"part of the start time"}
{"time":900,"event":"endpoint","run":"1@12","state":"part of the name"}
{"time":900,"event":"order","run":"e=1@1","outcome":"part after the sign"}
{"time":900,"event":"endpoint","run":"e1@12=0-4,e2","state":"across two stages"}
{"time":900,"event":"endpoint","run":"e2@1","state":"the second stage"}
{"time":900,"event":"endpoint","run":"e3@1","state":"the stage that took over"}
{"time":1000,"event":"sent","id":"r1","attempt":1,"stages":"e1@12=0-4,e2@1=4-8"}
{"time":1100,"event":"detour","id":"r1","attempt":1,"stages":"e1@12=0-4,e3@1=4-8"}
"#;
    let output = explain_lines(lines, "r1");
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).unwrap();
    let found = text
        .lines()
        .filter(|l| l.contains(" endpoint ") || l.contains(" order "));
    let found: Vec<&str> = found.filter_map(|l| l.split('"').nth(3)).collect();
    assert_eq!(
        found,
        ["the second stage", "the stage that took over"],
        "{text}"
    );
}
