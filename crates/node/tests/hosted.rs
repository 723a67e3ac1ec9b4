//! The real binary on a platform's store: start, requests of each kind, catalog versions, drains
//! and outages.

#[path = "support/process.rs"]
mod process;
#[path = "../../../platform/standin/mod.rs"]
mod standin;

use adapter::header::Headers;
use gate::dialect::Dialect;
use http::StatusCode;
use process::Process;
use standin::address;
use standin::caller::{self, Call};
use standin::engine::Engine;
use standin::manifest;
use standin::store::Store;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of checks, 20 ms apart, for an expected state.
const MAX_POLLS: usize = 1500;
/// Maximum time from the loss of a layer until another endpoint serves it.
const MAX_LOAD_TIME: Duration = Duration::from_secs(20);

/// A running node.
struct Node {
    process: Process,
    callers: SocketAddr,
    addresses: SocketAddr,
    ready: SocketAddr,
    peers: SocketAddr,
    metrics: SocketAddr,
}

fn settings(name: &str, ports: [SocketAddr; 5], store: SocketAddr, seeds: &str) -> String {
    let [callers, addresses, ready, peers, metrics] = ports;
    format!(
        "[node]\nname = {name}\nzone = a\nregion = south\ngrace = 3s\n\
         [callers]\nlisten = {callers}\n[addresses]\nlisten = {addresses}\n[ready]\nlisten = {ready}\n\
         [metrics]\nlisten = {metrics}\n\
         [peers]\nlisten = {peers}\nkey = {}\nseeds = {seeds}\n\
         [store]\naddress = {store}\nheartbeat = 200ms\n[logging]\nlevel = info\n",
        "01".repeat(32)
    )
}

fn start(name: &str, store: SocketAddr, seeds: &str) -> Node {
    let ports = std::array::from_fn(|_| address::unused());
    let [callers, addresses, ready, peers, metrics] = ports;
    let file = process::settings(callers, &settings(name, ports, store, seeds));
    Node {
        process: Process::start(file),
        callers,
        addresses,
        ready,
        peers,
        metrics,
    }
}

/// Sends a request and returns the status and body of the response; `None` if it is not complete.
async fn send_request(
    addr: SocketAddr,
    method: &str,
    path: &str,
    key: &str,
) -> Option<(StatusCode, String)> {
    let call = Call {
        method,
        path,
        id: "r1",
        key,
        deadline: "4000",
    };
    let got = caller::send(addr, &call).await?;
    got.complete.then_some((got.status, got.body))
}

/// Repeats a request until `done` accepts the response, and panics if it never does.
async fn until(
    what: &str,
    addr: SocketAddr,
    path: &str,
    done: impl Fn(&(StatusCode, String)) -> bool,
) -> (StatusCode, String) {
    let mut last = None;
    for _ in 0..MAX_POLLS {
        last = send_request(addr, "GET", path, "k1").await;
        if let Some(found) = last.clone().filter(&done) {
            return found;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("{what}: last answer {last:?}");
}

fn ok(answer: &(StatusCode, String)) -> bool {
    answer.0 == StatusCode::OK
}

async fn fleet(store: &Store) -> (Vec<Engine>, Engine) {
    let mut engines = Vec::new();
    for number in 0..4 {
        engines.push(Engine::start(&format!("e{number}"), store).await);
    }
    (engines, Engine::start_plain("app", store).await)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn engines_are_loaded_and_each_kind_of_request_is_served() {
    let store = Store::start().await;
    let (engines, app) = fleet(&store).await;
    let node = start("whole", store.addr, "");
    let not_ready = until(
        "an answer",
        node.ready,
        Headers::default().ready_path(),
        |_| true,
    )
    .await;
    assert_eq!(not_ready.0, StatusCode::SERVICE_UNAVAILABLE);
    store.put_manifest(&manifest(1, "/safe/"));
    until("ready", node.ready, Headers::default().ready_path(), ok).await;
    let (_, body) = until("a chain", node.callers, "/chat/x", ok).await;
    assert_eq!(body.matches("id: ").count(), 3);
    for layer in 0..4 {
        let held = engines.iter().map(Engine::layers);
        assert!(
            held.filter(|&(from, to)| from <= layer && layer < to)
                .count()
                > 0
        );
    }
    let chains: Vec<String> = engines.iter().flat_map(Engine::chains).collect();
    assert!(chains.iter().all(|c| c.contains("=0-")), "{chains:?}");
    for path in ["/safe/x", "/once/x"] {
        let (_, body) = until(path, node.callers, path, ok).await;
        assert_eq!(body, "app north r1");
    }
    assert!(!app.chains().is_empty());
    let path = format!(
        "{}?name=h&region=south&zone=a",
        Headers::default().addresses_path()
    );
    let (_, body) = until("addresses", node.addresses, &path, ok).await;
    assert!(body.contains(&node.callers.to_string()), "{body}");
    let unknown = send_request(node.callers, "GET", "/safe/x", "other")
        .await
        .unwrap();
    assert_eq!(unknown.0, StatusCode::UNAUTHORIZED);
}

// The store refuses one node and serves the other, and the operator removes a route. The refused
// node must not serve the route for longer than the other, so it gets the version from its peer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_refused_by_the_store_learns_versions_from_its_peer() {
    let store = Store::start().await;
    let (_engines, _app) = fleet(&store).await;
    store.put_manifest(&manifest(1, "/safe/"));
    let (door, closed) = store.second_address().await;
    let first = start("first", store.addr, "");
    let second = start("second", door, &first.peers.to_string());
    for node in [&first, &second] {
        until("version 1", node.callers, "/safe/x", ok).await;
    }
    let both = |a: &(StatusCode, String)| a.1.contains(&first.callers.to_string());
    until(
        "the peer",
        second.addresses,
        Headers::default().addresses_path(),
        both,
    )
    .await;
    *closed.lock().unwrap() = true;
    store.put_manifest(&manifest(2, "/other/"));
    until("version 2", second.callers, "/other/x", ok).await;
    let old = send_request(second.callers, "GET", "/safe/x", "k1")
        .await
        .unwrap();
    assert_eq!(old.0, StatusCode::NOT_FOUND);
}

// During an outage of the store, the known catalog stays in force and requests are served.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_are_served_during_a_store_outage() {
    let store = Store::start().await;
    let (_engines, _app) = fleet(&store).await;
    store.put_manifest(&manifest(3, "/safe/"));
    let node = start("out", store.addr, "");
    until("a chain", node.callers, "/chat/x", ok).await;
    store.set_down(true);
    for _ in 0..20 {
        let answer = send_request(node.callers, "GET", "/chat/x", "k1")
            .await
            .unwrap();
        assert_eq!(answer.0, StatusCode::OK, "{}", answer.1);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    // An older version that the store has after the outage is not adopted.
    store.put_manifest(&manifest(2, "/other/"));
    store.set_down(false);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let answer = send_request(node.callers, "GET", "/safe/x", "k1")
        .await
        .unwrap();
    assert_eq!(answer.0, StatusCode::OK);
}

// All nodes are killed at the same moment, right after a version was written, and the store is down
// when they restart. Callers get no service meanwhile. Once the store is up, every node serves
// requests of each kind by the newest version again, also a node whose only seed is another killed
// node.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nodes_killed_together_recover() {
    let store = Store::start().await;
    let (_engines, _app) = fleet(&store).await;
    store.put_manifest(&manifest(1, "/safe/"));
    let first = start("killed-1", store.addr, "");
    let second = start("killed-2", store.addr, &first.peers.to_string());
    let mut nodes = [first, second];
    for node in &nodes {
        until("a chain", node.callers, "/chat/x", ok).await;
    }
    store.put_manifest(&manifest(2, "/other/"));
    nodes.iter_mut().for_each(|n| n.process.kill());
    assert_eq!(
        send_request(nodes[0].callers, "GET", "/chat/x", "k1").await,
        None
    );
    store.set_down(true);
    nodes.iter_mut().for_each(|n| n.process.restart());
    let unavailable = |a: &(StatusCode, String)| a.0 == StatusCode::SERVICE_UNAVAILABLE;
    for node in &nodes {
        until("no catalog", node.callers, "/chat/x", unavailable).await;
    }
    store.set_down(false);
    for node in &nodes {
        for path in ["/chat/x", "/other/x", "/once/x"] {
            until(path, node.callers, path, ok).await;
        }
        let old = send_request(node.callers, "GET", "/safe/x", "k1")
            .await
            .unwrap();
        assert_eq!(old.0, StatusCode::NOT_FOUND);
    }
}

// An endpoint announces that it leaves while the store discards its history. The node reads the
// whole table again, and sends no more requests to the endpoint.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_endpoint_gets_no_requests_after_log_compaction() {
    let store = Store::start().await;
    let (_engines, app) = fleet(&store).await;
    let other = Engine::start_plain("other", &store).await;
    store.put_manifest(&manifest(1, "/safe/"));
    let node = start("leaving", store.addr, "");
    until("the other", node.callers, "/safe/x", |a| {
        a.1.starts_with("other")
    })
    .await;
    other.drain();
    store.compact();
    let mut idle_rounds = 0;
    for _ in 0..MAX_POLLS {
        let before = other.chains().len();
        for _ in 0..10 {
            until("an answer", node.callers, "/safe/x", ok).await;
        }
        idle_rounds = if other.chains().len() == before {
            idle_rounds + 1
        } else {
            0
        };
        if idle_rounds == 3 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(idle_rounds, 3, "the leaving endpoint still gets requests");
    assert!(!app.chains().is_empty());
}

/// Waits until an engine holds layers.
async fn until_loaded(engine: &Engine) {
    for _ in 0..MAX_POLLS {
        if engine.layers() != (0, 0) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("{} was not ordered to load layers", engine.id);
}

// Guards against layers that stay missing, and requests that are refused, until endpoints that
// announced that they leave are gone.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn layers_of_endpoints_that_announced_that_they_leave_are_loaded_elsewhere() {
    let store = Store::start().await;
    let (mut engines, _app) = fleet(&store).await;
    store.put_manifest(&manifest(1, "/safe/"));
    let node = start("announced", store.addr, "");
    until("a chain", node.callers, "/chat/x", ok).await;
    // Second copies of two layers.
    for id in ["e4", "e5"] {
        let engine = Engine::start(id, &store).await;
        until_loaded(&engine).await;
        engines.push(engine);
    }
    let heads: Vec<&Engine> = engines.iter().filter(|e| e.layers().0 == 0).collect();
    assert_eq!(heads.len(), 2);
    heads.iter().for_each(|head| head.leave());
    let served_by_another = async {
        let others = || engines.iter().filter(|e| !e.is_leaving());
        while others().all(|e| e.runs().is_empty()) {
            send_request(node.callers, "GET", "/chat/x", "k1").await;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let served = tokio::time::timeout(MAX_LOAD_TIME, served_by_another).await;
    assert!(served.is_ok(), "the layers are still missing");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn signals_reload_and_stop_a_node() {
    let store = Store::start().await;
    let (_engines, _app) = fleet(&store).await;
    store.put_manifest(&manifest(1, "/safe/"));
    let mut node = start("signals", store.addr, "");
    until("ready", node.ready, Headers::default().ready_path(), ok).await;
    // A settings file that has become invalid is logged and changes nothing.
    std::fs::write(&node.process.file, "[store]\naddress = nowhere\n").unwrap();
    assert!(node.process.signal("-HUP"));
    until("served after the reload", node.callers, "/safe/x", ok).await;
    assert!(node.process.signal("-TERM"));
    let unavailable = |a: &(StatusCode, String)| a.0 == StatusCode::SERVICE_UNAVAILABLE;
    until(
        "no longer ready",
        node.ready,
        Headers::default().ready_path(),
        unavailable,
    )
    .await;
    // New requests are still served at first.
    let answer = send_request(node.callers, "GET", "/safe/x", "k1")
        .await
        .unwrap();
    assert_eq!(answer.0, StatusCode::OK);
    for _ in 0..MAX_POLLS {
        if let Some(status) = node.process.exit_status() {
            assert!(status.success(), "{status}");
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("the node does not end");
}

// Tests run concurrently, and each starts nodes. If two nodes got the same port, a test would send
// requests to another test's node and fail once in many runs.
#[test]
fn addresses_of_test_nodes_are_unique() {
    let mut given: Vec<_> = (0..2000).map(|_| address::unused()).collect();
    given.sort();
    given.dedup();
    assert_eq!(given.len(), 2000);
}

// The operator reads metrics and the dump on the address from the settings. Any other path on that
// address is not found.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn operators_read_metrics_and_dump_on_a_separate_address() {
    let store = Store::start().await;
    let (_engines, _app) = fleet(&store).await;
    store.put_manifest(&manifest(1, "/safe/"));
    let node = start("metrics", store.addr, "");
    until("version 1", node.callers, "/safe/x", ok).await;
    let (status, text) = send_request(node.metrics, "GET", "/metrics", "")
        .await
        .unwrap();
    assert_eq!(status, StatusCode::OK);
    for name in [
        "wigeonshelf_requests_total",
        "wigeonshelf_answer_seconds_bucket",
        "wigeonshelf_store_read_seconds_bucket",
    ] {
        assert!(text.contains(name), "{name} is not in {text}");
    }
    let (status, text) = send_request(node.metrics, "GET", "/dump", "")
        .await
        .unwrap();
    assert_eq!(status, StatusCode::OK);
    for part in ["catalog 1", "table endpoints known up to", "app"] {
        assert!(text.contains(part), "{part} is not in {text}");
    }
    let other = send_request(node.metrics, "GET", "/safe/x", "k1")
        .await
        .unwrap();
    assert_eq!(other.0, StatusCode::NOT_FOUND);
}

#[test]
fn every_finding_in_settings_is_reported() {
    let content = "[node]\nname = a b\nzone = a\n[callers]\nlisten = here\n[peers]\nkey = 1\n\
                   [store]\naddress = 127.0.0.1:1\nheartbeat = 0s\n[retries]\nratio = -1\n[stray]\n";
    let file = process::settings(address::unused(), content);
    let output = process::check(&file);
    let _ = std::fs::remove_file(&file);
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    let expected = [
        ":2: [node] name:",
        "[node] region: is missing",
        ":5: [callers] listen:",
        "[peers] listen: is missing",
        ":7: [peers] key:",
        ":10: [store] heartbeat:",
        ":12: [retries] ratio:",
        "[stray] unknown section",
    ];
    for finding in expected {
        assert!(text.contains(finding), "{finding} is not in {text}");
    }
    assert_eq!(text.lines().count(), expected.len(), "{text}");
}
