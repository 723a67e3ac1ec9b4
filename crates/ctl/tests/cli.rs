//! Tests of the binary against the stand-in log, from a new key to a version in force.

mod common;

use common::{Workdir, json, ok};
use serde_json::Value;
use standin::fault::Mode;
use standin::log::Log;

/// Guards the usual sequence of commands: create a key, check, sign, publish, list the history and
/// compare versions.
#[tokio::test(flavor = "multi_thread")]
async fn keygen_sign_publish_and_history_work_together() {
    let log = Log::start("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let addr = log.addr.to_string();
    let dir = Workdir::new("first-day");
    dir.signers(&["mira"]);
    ok(&dir.run(&["check", "bundle.ini"]));
    dir.sign_first();
    let publish = ["publish", "1.json", "--log", &addr, "--trust", "trust.ini"];
    let output = json(&dir.run(&[&publish[..], &["--output", "json"]].concat()));
    assert_eq!(
        (&output["outcome"], &output["number"]),
        (&"accepted".into(), &1.into())
    );
    // Publishing the same file again appends nothing.
    ok(&dir.run(&publish));
    assert_eq!(log.records("bundles").len(), 1);

    dir.write(
        "next.ini",
        &dir.read("bundle.ini").replace("rate = 20", "rate = 21"),
    );
    ok(&dir.run(&[
        "sign",
        "next.ini",
        "--name",
        "mira",
        "--key",
        "mira.pem",
        "--log",
        &addr,
        "--trust",
        "trust.ini",
        "--out",
        "2.json",
    ]));
    ok(&dir.run(&["publish", "2.json", "--log", &addr, "--trust", "trust.ini"]));
    let args = [
        "history",
        "--log",
        &addr,
        "--trust",
        "trust.ini",
        "--output",
        "json",
    ];
    let history = json(&dir.run(&args));
    let numbers: Vec<&Value> = history
        .as_array()
        .unwrap()
        .iter()
        .map(|v| &v["number"])
        .collect();
    assert_eq!(numbers, [1, 2]);
    dir.write(
        "head.json",
        &head(&dir.read("1.json"), &dir.read("trust.ini")),
    );
    for old in ["bundle.ini", "1.json", "head.json"] {
        let diff = json(&dir.run(&["diff", old, "next.ini", "--output", "json"]));
        assert_eq!(diff["changed"], serde_json::json!(["team kitchens"]));
    }
}

/// Two operators sign a successor of the same head, and the second one publishes too late. Its
/// command must report the loss by exit code and the winner by name, and append nothing.
#[tokio::test(flavor = "multi_thread")]
async fn losing_a_race_reports_the_winner() {
    let log = Log::start("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let addr = log.addr.to_string();
    let dir = Workdir::new("race");
    dir.signers(&["mira", "tuya"]);
    for (name, rate) in [("mira", 21), ("tuya", 22)] {
        let text = dir.read("bundle.ini");
        dir.write(
            "own.ini",
            &text.replace("rate = 20", &format!("rate = {rate}")),
        );
        let (key, out) = (format!("{name}.pem"), format!("{name}.json"));
        let sign = [
            "sign", "own.ini", "--name", name, "--key", &key, "--first", "--out", &out,
        ];
        ok(&dir.run(&sign));
    }
    let publish = |file| {
        let args = [
            "publish",
            file,
            "--log",
            &addr,
            "--trust",
            "trust.ini",
            "--output",
            "json",
        ];
        dir.run(&args)
    };
    ok(&publish("tuya.json"));
    let lost = publish("mira.json");
    assert_eq!(lost.status.code(), Some(1));
    let error: Value = serde_json::from_slice(&lost.stderr).unwrap();
    assert_eq!(error["error"], "lost to version 1 by tuya");
    assert_eq!(
        log.records("bundles").len(),
        1,
        "a version that can't win isn't appended"
    );
}

/// The log executes the append, but its response is lost. The tool must read the record back: it
/// must not report a failure, nor append the version twice.
#[tokio::test(flavor = "multi_thread")]
async fn publish_reads_back_after_a_lost_append_answer() {
    let log = Log::start("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let addr = log.addr.to_string();
    let dir = Workdir::new("lost-answer");
    dir.signers(&["mira"]);
    dir.sign_first();
    log.faults.drop_answers(1);
    ok(&dir.run(&["publish", "1.json", "--log", &addr, "--trust", "trust.ini"]));
    assert_eq!(log.faults.dropped_answers(), 1);
    assert_eq!(log.records("bundles").len(), 1);
}

/// The log is down. The tool must give up in bounded time and report that nothing was appended.
#[tokio::test(flavor = "multi_thread")]
async fn publish_reports_a_log_outage() {
    let log = Log::start("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let addr = log.addr.to_string();
    let dir = Workdir::new("outage");
    dir.signers(&["mira"]);
    dir.sign_first();
    log.faults.set_mode(Mode::Down);
    let output = dir.run(&["publish", "1.json", "--log", &addr, "--trust", "trust.ini"]);
    assert_eq!(output.status.code(), Some(1));
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(error.contains("nothing was appended"), "{error}");
}

/// The log dropped all records before a checkpoint was written, so that the version in force can't
/// be determined and publishing is refused. After `restore` with a saved head, the next version
/// must be accepted. Restoring a log without a gap must be refused.
#[tokio::test(flavor = "multi_thread")]
async fn restore_repairs_a_log_without_checkpoint() {
    let log = Log::start("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let addr = log.addr.to_string();
    let way = ["--log", &addr, "--trust", "trust.ini"];
    let dir = Workdir::new("restore");
    dir.signers(&["mira"]);
    dir.sign_first();
    let run = |args: &[&str]| dir.run(&[args, &way[..]].concat());
    ok(&run(&["publish", "1.json"]));
    dir.write(
        "head.json",
        &head(&dir.read("1.json"), &dir.read("trust.ini")),
    );
    let sound = run(&["restore", "head.json"]);
    assert_eq!(sound.status.code(), Some(1));

    dir.write(
        "next.ini",
        &dir.read("bundle.ini").replace("rate = 20", "rate = 21"),
    );
    let sign = [
        "sign", "next.ini", "--name", "mira", "--key", "mira.pem", "--out", "2.json",
    ];
    ok(&dir.run(&[&sign[..], &["--parent", "head.json"]].concat()));
    log.trim("bundles", 1);
    let output = run(&["publish", "2.json"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("gap"));
    ok(&run(&["restore", "head.json"]));
    ok(&run(&["publish", "2.json"]));
}

/// Returns the head after the first version, as a record.
fn head(version: &str, trust: &str) -> String {
    let mut fold = bundle::fold::Fold::new(common::trusted(trust));
    fold.apply(0, version.as_bytes());
    String::from_utf8(fold.encode_head().unwrap()).unwrap()
}

/// Invalid input must give exit code 2, with the line number of each finding, and `keygen` must not
/// overwrite a key.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_input_exits_with_code_2() {
    let dir = Workdir::new("bad-input");
    dir.signers(&["mira"]);
    dir.write("bad.ini", "[team x]\nwieght = 3\nrate = -1\n[zone z]\n");
    let output = dir.run(&["check", "bad.ini", "--output", "json"]);
    assert_eq!(output.status.code(), Some(2));
    let error: Value = serde_json::from_slice(&output.stderr).unwrap();
    assert_eq!(error["findings"][0]["line"], 2);
    for args in [
        &["check", "missing.ini"][..],
        &["keygen", "--name", "mira", "--key", "mira.pem"],
        &["keygen", "--name", "no name", "--key", "x.pem"],
        &[
            "publish",
            "bundle.ini",
            "--log",
            "127.0.0.1:1",
            "--trust",
            "trust.ini",
        ],
        &[
            "sign",
            "bundle.ini",
            "--name",
            "mira",
            "--key",
            "trust.ini",
            "--first",
        ],
        &["sign", "bundle.ini", "--name", "mira", "--key", "mira.pem"],
        &["publish"],
    ] {
        let output = dir.run(args);
        assert_eq!(output.status.code(), Some(2), "{args:?}");
        assert!(!output.stderr.is_empty());
    }
}
