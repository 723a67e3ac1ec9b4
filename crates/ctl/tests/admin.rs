//! Tests of the binary against a fake of a node's admin API.

mod common;

use bundle::answer::Answer;
use bundle::fleet::{Fleet, Node};
use bundle::fold::Fold;
use bundle::publish::{Action, Event, Publisher};
use common::{Workdir, json, ok};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::net::TcpListener;

/// Fake node with a log of its own in memory.
struct Fake {
    fold: Fold,
    log: Vec<Vec<u8>>,
    /// Number of nodes that are behind; one catches up with each request for the fleet.
    behind: usize,
    /// Number of publish responses still to be dropped after the version was published.
    lost_answers: usize,
}

/// Number of listed nodes; the fleet has one more, which has left.
const NODES: usize = 8;

impl Fake {
    /// Publishes a signed version as a node does.
    fn publish(&mut self, body: Vec<u8>) -> Answer {
        let mut publish = match Publisher::new(body) {
            Ok(publish) => publish,
            Err(e) => return Answer::from(&e),
        };
        let mut action = publish.start();
        loop {
            let event = match action {
                Action::Done(outcome) => return Answer::from(&outcome),
                Action::Append => {
                    self.log.push(publish.body().to_vec());
                    Event::Appended(self.log.len() as u64 - 1)
                }
                Action::Read { .. } => {
                    let from = self.fold.next_offset() as usize;
                    for (i, body) in self.log.iter().enumerate().skip(from) {
                        self.fold.apply(i as u64, body);
                    }
                    Event::Read { end: true }
                }
            };
            action = publish.step(&self.fold, event);
        }
    }

    /// Returns the versions in force on all nodes, and lets one node that is behind catch up.
    fn fleet(&mut self) -> Fleet {
        let number = self.fold.head().map_or(0, |b| b.number);
        let node = |i: usize| Node {
            node: format!("entry-{i}"),
            state: if i < NODES { "up" } else { "left" }.into(),
            number: if i < self.behind || i == NODES {
                0
            } else {
                number
            },
        };
        let nodes = (0..=NODES).map(node).collect();
        self.behind = self.behind.saturating_sub(1);
        Fleet { nodes }
    }
}

/// Handles one request; an error closes the connection without a response.
async fn answer(
    fake: Arc<Mutex<Fake>>,
    request: Request<Incoming>,
) -> std::io::Result<Response<Full<Bytes>>> {
    let (parts, body) = request.into_parts();
    let body = body
        .collect()
        .await
        .map_err(std::io::Error::other)?
        .to_bytes();
    let mut fake = fake.lock().unwrap();
    let json = |value: Value| Bytes::from(value.to_string());
    let body = match parts.uri.path() {
        "/admin/v1/bundles" => {
            let answer = fake.publish(body.to_vec());
            if fake.lost_answers > 0 {
                fake.lost_answers -= 1;
                return Err(std::io::ErrorKind::ConnectionReset.into());
            }
            json(serde_json::to_value(answer).unwrap())
        }
        "/admin/v1/fleet" => json(serde_json::to_value(fake.fleet()).unwrap()),
        "/admin/v1/status" => json(serde_json::json!({"bundle": {"number": 1}, "ready": true})),
        "/admin/v1/history" => {
            let history = bundle::history::History::from(&fake.fold);
            json(serde_json::to_value(history).unwrap())
        }
        "/admin/v1/head" => fake.fold.encode_head().unwrap_or_default().into(),
        "/dump" => Bytes::from(format!("dump {}", parts.uri.query().unwrap_or_default())),
        _ => {
            let mut response = Response::new(Full::new(Bytes::from("no such path")));
            *response.status_mut() = StatusCode::NOT_FOUND;
            return Ok(response);
        }
    };
    Ok(Response::new(Full::new(body)))
}

/// Starts a fake that trusts the signers in `trust.ini`, and returns its address.
async fn start(dir: &Workdir, behind: usize, lost_answers: usize) -> SocketAddr {
    let trusted = common::trusted(&dir.read("trust.ini"));
    let fake = Fake {
        fold: Fold::new(trusted),
        log: Vec::new(),
        behind,
        lost_answers,
    };
    let fake = Arc::new(Mutex::new(fake));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let fake = fake.clone();
            let service = service_fn(move |request| answer(fake.clone(), request));
            let serve = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            tokio::spawn(async move {
                let _ = serve.await;
                Ok::<(), Infallible>(())
            });
        }
    });
    addr
}

/// An operator without access to the log publishes through a node. `--wait` must show progress and
/// succeed once every listed node has the version in force.
#[tokio::test(flavor = "multi_thread")]
async fn publish_wait_ends_when_every_node_has_the_version() {
    let dir = Workdir::new("wait");
    dir.signers(&["mira"]);
    dir.sign_first();
    let addr = start(&dir, 2, 0).await.to_string();
    let output = dir.run(&["publish", "1.json", "--admin", &addr, "--wait"]);
    ok(&output);
    let progress = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        progress.contains("6 of 8 nodes, waiting for entry-0 (up), entry-1 (up)"),
        "{progress}"
    );
    assert!(progress.contains("8 of 8 nodes"), "{progress}");
}

/// Some nodes never get the version. The wait must end at its timeout with exit code 1 and name
/// them.
#[tokio::test(flavor = "multi_thread")]
async fn publish_wait_ends_at_its_timeout() {
    let dir = Workdir::new("bounded");
    dir.signers(&["mira"]);
    dir.sign_first();
    let addr = start(&dir, usize::MAX, 0).await.to_string();
    let args = [
        "publish",
        "1.json",
        "--admin",
        &addr,
        "--wait",
        "--timeout",
        "1",
    ];
    let output = dir.run(&args);
    assert_eq!(output.status.code(), Some(1));
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        error.contains("time limit passed") && error.contains("entry-0"),
        "{error}"
    );
}

/// The node publishes the version, but the connection breaks before its response. The retry must
/// return the outcome of that version, and the history must hold one version only.
#[tokio::test(flavor = "multi_thread")]
async fn publish_is_retried_after_a_lost_answer_of_the_node() {
    let dir = Workdir::new("node-lost");
    dir.signers(&["mira"]);
    dir.sign_first();
    let addr = start(&dir, 0, 2).await.to_string();
    let args = ["publish", "1.json", "--admin", &addr, "--output", "json"];
    let output = json(&dir.run(&args));
    assert_eq!(
        (&output["outcome"], &output["number"]),
        (&"accepted".into(), &1.into())
    );
    let args = ["history", "--admin", &addr, "--output", "json"];
    assert_eq!(json(&dir.run(&args)).as_array().unwrap().len(), 1);
}

/// A version signed on the head from a node must be accepted, and one on an outdated head must
/// lose.
#[tokio::test(flavor = "multi_thread")]
async fn versions_are_signed_on_the_head_of_a_node() {
    let dir = Workdir::new("node-head");
    dir.signers(&["mira", "tuya"]);
    dir.sign_first();
    let addr = start(&dir, 0, 0).await.to_string();
    ok(&dir.run(&["publish", "1.json", "--admin", &addr]));
    let head = dir.run(&["dump", "--admin", &addr, "--format", "head"]);
    ok(&head);
    dir.write("head.json", &String::from_utf8(head.stdout).unwrap());
    for (name, rate, from) in [
        ("mira", 21, ["--admin", &addr]),
        ("tuya", 22, ["--parent", "head.json"]),
    ] {
        let text = dir
            .read("bundle.ini")
            .replace("rate = 20", &format!("rate = {rate}"));
        dir.write("next.ini", &text);
        let (key, out) = (format!("{name}.pem"), format!("{name}.json"));
        let sign = [
            "sign", "next.ini", "--name", name, "--key", &key, "--out", &out,
        ];
        ok(&dir.run(&[&sign[..], &from].concat()));
    }
    ok(&dir.run(&["publish", "mira.json", "--admin", &addr]));
    let lost = dir.run(&["publish", "tuya.json", "--admin", &addr]);
    assert_eq!(lost.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&lost.stderr).contains("lost to version 2 by mira"));
    let status = dir.run(&["status", "--admin", &addr]);
    assert!(String::from_utf8_lossy(&status.stdout).contains("bundle.number 1"));
    let dump = dir.run(&["dump", "--admin", &addr]);
    assert_eq!(String::from_utf8_lossy(&dump.stdout), "dump format=text\n");
}
