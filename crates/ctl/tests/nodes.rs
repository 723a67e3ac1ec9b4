//! Tests of the binary against running nodes, over real sockets.

mod common;

use bundle::sign;
use common::{Workdir, json, ok};
use rig::fleet::Fleet;
use rig::plan::{Plan, SIGNER, SIGNER_SEED};
use serde_json::Value;
use standin::fault::Mode;

const NODES: usize = 8;

/// Starts nodes without a bundle, and creates the files of a signer that they trust.
async fn start(name: &str) -> (Fleet, Workdir) {
    let plan = Plan {
        nodes: NODES,
        ..Plan::default()
    };
    let mut fleet = Fleet::start_standins(plan).await.unwrap();
    for index in 0..NODES {
        fleet.start_node(index).unwrap();
    }
    fleet.update_instance_list();
    let dir = Workdir::new(name);
    let key = sign::key_from_seed(SIGNER_SEED);
    dir.write("key.pem", &sign::to_pem(&key).unwrap());
    let trust = format!("[trust]\n{SIGNER} = {}\n", sign::public_key_hex(&key));
    dir.write("trust.ini", &trust);
    dir.write("bundle.ini", &fleet.text());
    (fleet, dir)
}

/// Signs `file` into `out`; `head` holds the flags that select the parent.
fn sign(dir: &Workdir, file: &str, out: &str, head: &[&str]) {
    let args = [
        "sign", file, "--name", SIGNER, "--key", "key.pem", "--out", out,
    ];
    ok(&dir.run(&[&args[..], head].concat()));
}

/// Returns the status of a node as JSON.
fn status(fleet: &Fleet, dir: &Workdir, index: usize) -> Value {
    let admin = fleet.node(index).admin.to_string();
    json(&dir.run(&["status", "--admin", &admin, "--output", "json"]))
}

/// Versions published through different nodes, one of them with the response of its append lost,
/// must be in force on every node once `publish --wait` has succeeded.
#[tokio::test(flavor = "multi_thread")]
async fn published_versions_come_into_force_on_all_nodes() {
    let (fleet, dir) = start("nodes").await;
    let admin = |index: usize| fleet.node(index).admin.to_string();
    sign(&dir, "bundle.ini", "1.json", &["--first"]);
    ok(&dir.run(&["publish", "1.json", "--admin", &admin(0), "--wait"]));
    let log = fleet.log.addr.to_string();
    let way = ["--log", &log, "--trust", "trust.ini"];
    dir.write(
        "next.ini",
        &dir.read("bundle.ini").replace("slots = 64", "slots = 63"),
    );
    sign(&dir, "next.ini", "2.json", &way);
    fleet.log.faults.drop_answers(1);
    ok(&dir.run(&["publish", "2.json", "--admin", &admin(3), "--wait"]));
    for index in 0..NODES {
        assert_eq!(status(&fleet, &dir, index)["number"], 2);
    }
    let args = ["history", "--admin", &admin(5), "--output", "json"];
    assert_eq!(json(&dir.run(&args)).as_array().unwrap().len(), 2);
    let dump = dir.run(&["dump", "--admin", &admin(6)]);
    assert!(String::from_utf8_lossy(&dump.stdout).contains("accepted"));
}

/// The log is down when an operator publishes. The node must report that nothing was appended,
/// nodes must keep the previous version in force, and publishing the same file must succeed once
/// the log is back.
#[tokio::test(flavor = "multi_thread")]
async fn log_outage_keeps_the_previous_version_in_force() {
    let (fleet, dir) = start("nodes-outage").await;
    let admin = fleet.node(1).admin.to_string();
    sign(&dir, "bundle.ini", "1.json", &["--first"]);
    ok(&dir.run(&["publish", "1.json", "--admin", &admin, "--wait"]));
    let log = fleet.log.addr.to_string();
    dir.write(
        "next.ini",
        &dir.read("bundle.ini").replace("slots = 64", "slots = 63"),
    );
    let way = ["--log", &log, "--trust", "trust.ini"];
    sign(&dir, "next.ini", "2.json", &way);
    fleet.log.faults.set_mode(Mode::Down);
    let output = dir.run(&["publish", "2.json", "--admin", &admin]);
    assert_eq!(output.status.code(), Some(1));
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(error.contains("nothing was appended"), "{error}");
    assert_eq!(status(&fleet, &dir, 4)["number"], 1);
    fleet.log.faults.set_mode(Mode::Up);
    ok(&dir.run(&["publish", "2.json", "--admin", &admin, "--wait"]));
    assert_eq!(status(&fleet, &dir, 4)["number"], 2);
}
