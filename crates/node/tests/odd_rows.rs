//! Rows that other writers leave in the table of endpoints.

#[path = "support/instance.rs"]
mod instance;
#[path = "support/process.rs"]
mod process;
#[path = "../../../platform/standin/mod.rs"]
mod standin;

use adapter::Platform;
use adapter::store::Table;
use catalog::bounds::MAX_NAME_BYTES;
use catalog::source::{Page, Record};
use http::StatusCode;
use instance::Instance;
use journal::event::Event;
use journal::{Journal, Message};
use member::item::{Item, Observation};
use member::message::{Body, Message as Gossip};
use node::hosted::control::tables::Tables;
use standin::caller::{self, Call};
use standin::engine::Engine;
use standin::manifest;
use standin::store::Store;
use std::time::{Duration, Instant};
use wire::frame::Frame;

/// Time within which a catalog must be in force.
const CATALOG_DEADLINE: Duration = Duration::from_secs(2);
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns a row with these fields in place of the usual ones.
fn row(layers: &str, slots: &str, address: &str) -> String {
    format!(
        r#"{{"service":"model","address":"{address}","zone":"a","slots":{slots},"state":"ready","born":7,
        "kind":"card","layers":{layers}}}"#
    )
}

/// Rows that are no endpoints, or none that exists, with their keys.
fn odd_rows() -> Vec<(String, String)> {
    let whole = r#"{"from":0,"to":4}"#;
    let nested = |depth| "[".repeat(depth) + &"]".repeat(depth);
    let addr = "127.0.0.1:1";
    let rows = [
        row(r#"{"from":0,"to":4294967295}"#, "4", addr),
        row(r#"{"from":3,"to":1}"#, "4", addr),
        row(whole, "4294967295", addr),
        row(whole, "1e400", addr),
        row(whole, "4", "127.0.0.1:99999"),
        row(whole, "4", "127.0.0.1:0"),
        row(&nested(100), "4", addr),
        row(&nested(100_000), "4", addr),
        "not json".to_owned(),
    ];
    let rows = rows.into_iter().enumerate();
    let mut rows: Vec<_> = rows.map(|(n, row)| (format!("odd-{n}"), row)).collect();
    for key in ["odd key", "odd\nkey", "odd-\u{438}", &"o".repeat(255)] {
        rows.push((key.to_owned(), row(whole, "4", addr)));
    }
    rows
}

async fn status(node: &Instance, path: &str) -> Option<StatusCode> {
    let call = Call {
        method: "GET",
        path,
        id: "r1",
        key: "k1",
        deadline: "4000",
    };
    let answer = caller::send(node.callers, &call).await;
    answer.filter(|a| a.complete).map(|a| a.status)
}

/// Waits until a request is served, and returns the time that it took.
async fn wait_for(node: &Instance, path: &str, timeout: Duration) -> Duration {
    let started = Instant::now();
    while status(node, path).await != Some(StatusCode::OK) {
        assert!(started.elapsed() < timeout, "{path} is not served");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    started.elapsed()
}

// Guards against nodes that a single odd row ends, keeps busy so that new catalogs come late, or keeps
// from getting ready.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn odd_rows_do_not_affect_the_others() {
    let store = Store::start().await;
    let mut engines = Vec::new();
    for number in 0..4 {
        engines.push(Engine::start(&format!("e{number}"), &store).await);
    }
    let _app = Engine::start_plain("app", &store).await;
    store.put_manifest(&manifest(1, "/safe/"));
    let key = "01".repeat(32);
    let first = Instance::start("odd-1", &key, &[], store.addr);
    let mut second = Instance::start("odd-2", &key, &[first.peers], store.addr);
    for node in [&first, &second] {
        wait_for(node, "/chat/x", START_TIMEOUT).await;
    }
    for (key, row) in odd_rows() {
        store.put_registration(&key, &row);
    }
    tokio::time::sleep(Duration::from_millis(1500)).await;
    store.put_manifest(&manifest(2, "/other/"));
    wait_for(&first, "/other/x", CATALOG_DEADLINE).await;
    wait_for(&second, "/other/x", CATALOG_DEADLINE).await;
    let mut third = Instance::start("odd-3", &key, &[first.peers], store.addr);
    wait_for(&third, "/chat/x", START_TIMEOUT).await;
    for node in [&first, &second, &third] {
        for path in ["/chat/x", "/other/x", "/once/x"] {
            for _ in 0..10 {
                assert_eq!(status(node, path).await, Some(StatusCode::OK), "{path}");
            }
        }
    }
    let mut first = first;
    for node in [&mut first, &mut second, &mut third] {
        assert_eq!(node.process.exit_status(), None);
    }
}

// Guards against odd rows that no line names, and against a line at each write of the same row.
#[test]
fn an_odd_row_is_logged_once_for_each_change() {
    let platform = Platform::new(([127, 0, 0, 1], 1).into());
    let (journal, lines) = Journal::new(64);
    let mut tables = Tables::new(journal);
    let sound = row(r#"{"from":0,"to":4}"#, "4", "127.0.0.1:1");
    let (odd, other) = (sound.replace("ready", "asleep"), "[]".to_owned());
    let writes = [&odd, &odd, &other, &other, &sound, &sound, &odd, &odd];
    let mut changes = Vec::new();
    for (number, value) in writes.into_iter().enumerate() {
        let offset = number as u64;
        // Each write differs, as that of a heartbeat does.
        let value = format!("{value}{}", " ".repeat(number));
        let record = Record {
            key: "odd".to_owned(),
            value: Some(value.into_bytes().into()),
            offset,
        };
        let page = Page {
            records: vec![record],
            next_offset: offset + 1,
            complete: false,
        };
        changes.push(tables.apply(&platform, Table::Endpoints, page, "store"));
    }
    assert_eq!(
        changes,
        [false, false, false, false, true, false, true, false]
    );
    let states = lines.try_iter().filter_map(|message| match message {
        Message::Line(line) => match line.event {
            Event::Endpoint { run, state, .. } => Some((run, state)),
            _ => None,
        },
        _ => None,
    });
    let states: Vec<(String, String)> = states.collect();
    let starts = [
        ("odd", "unusable row: unknown state"),
        ("odd", "unusable row: invalid type"),
        ("odd@7", "Ready at 127.0.0.1:1 layers 0-4"),
        ("odd", "unusable row: unknown state"),
    ];
    assert_eq!(states.len(), starts.len(), "{states:?}");
    for ((run, state), (expected, start)) in states.iter().zip(starts) {
        assert_eq!(run, expected);
        assert!(state.starts_with(start), "{state}");
    }
}

// Guards against an endpoint whose name makes the messages of a node that reports it invalid for its
// peers, which then close the connection at each of them.
#[test]
fn the_name_of_an_endpoint_fits_into_the_messages_of_nodes() {
    let platform = Platform::new(([127, 0, 0, 1], 1).into());
    let row = row(r#"{"from":0,"to":4}"#, "4", "127.0.0.1:1");
    let row = row.replace(r#""born":7"#, r#""born":18446744073709551615"#);
    let longest = "o".repeat(MAX_NAME_BYTES);
    let keys = [
        "a",
        " ",
        "a\nb",
        "a\u{7f}",
        "\u{85}",
        &longest,
        &"o".repeat(255),
    ];
    let mut usable = 0;
    for key in keys {
        let Ok(endpoint) = platform.decode_endpoint(key, row.as_bytes()) else {
            continue;
        };
        usable += 1;
        let item = Item {
            origin: 1,
            incarnation: 1,
            version: 1,
            body: Observation::Endpoint {
                name: endpoint.run.to_string(),
                ejected: true,
                ttl: Duration::from_secs(1),
            },
        };
        let message = Gossip {
            from: 1,
            incarnation: 1,
            head: None,
            updates: Vec::new(),
            body: Body::Items(vec![item]),
        };
        let bytes = Frame::send(message).encode().unwrap();
        assert!(Frame::decode(&bytes).is_ok(), "{key:?}");
    }
    assert_eq!(usable, 2);
}
