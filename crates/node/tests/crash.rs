//! A request that crashes endpoints, before a fleet of real nodes.

#[path = "support/instance.rs"]
mod instance;
#[path = "support/process.rs"]
mod process;
#[path = "../../../platform/standin/mod.rs"]
mod standin;

use adapter::header::Headers;
use gate::dialect::Dialect;
use http::StatusCode;
use instance::Instance;
use standin::caller::{self, Call};
use standin::engine::Engine;
use standin::manifest;
use standin::store::Store;
use std::net::SocketAddr;
use std::time::Duration;

/// Path of the request under which endpoints crash.
const CRASHING: &str = "/safe/bad";
/// Path of requests that all endpoints serve.
const HARMLESS: &str = "/safe/x";
/// Number of endpoints.
const ENDPOINTS: usize = 10;
/// Maximum number of endpoints that may crash.
const MAX_CRASHES: usize = 3;
/// Time within which a crash must be known to all nodes.
const KNOWN_WITHIN: Duration = Duration::from_secs(3);
const START_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A running node.
struct Node(Instance);

impl Node {
    fn start(name: &str, store: SocketAddr, seeds: &[&Node]) -> Self {
        let seeds: Vec<SocketAddr> = seeds.iter().map(|n| n.0.peers).collect();
        Self(Instance::start(name, &"01".repeat(32), &seeds, store))
    }

    /// Sends a request and returns its status; `None` if the node does not respond.
    async fn status(&self, path: &str) -> Option<StatusCode> {
        let call = Call {
            method: "GET",
            path,
            id: "r1",
            key: "k1",
            deadline: "4000",
        };
        Some(caller::send(self.0.callers, &call).await?.status)
    }

    /// Waits until the node serves requests and knows the callers' addresses of `peers`.
    async fn ready(&self, peers: &[&Node]) {
        let path = format!(
            "{}?name=h&region=south&zone=a",
            Headers::default().addresses_path()
        );
        let list = Call {
            method: "GET",
            path: &path,
            id: "",
            key: "",
            deadline: "4000",
        };
        let ready = async {
            loop {
                let served = self.status(HARMLESS).await == Some(StatusCode::OK);
                let list = caller::send(self.0.addresses, &list).await;
                let list = list.map(|answer| answer.body).unwrap_or_default();
                let known = |p: &&Node| list.contains(&p.0.callers.to_string());
                if served && peers.iter().all(known) {
                    return;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let ready = tokio::time::timeout(START_TIMEOUT, ready).await;
        ready.expect("the node is not ready");
    }

    /// Sends the crashing request several times, and asserts that the last one is refused.
    async fn assert_refused(&self) {
        let mut last = None;
        for _ in 0..4 {
            last = self.status(CRASHING).await;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        assert_eq!(last, Some(StatusCode::SERVICE_UNAVAILABLE));
    }
}

fn crashed(endpoints: &[Engine]) -> usize {
    let crashed = endpoints.iter().filter(|e| e.stopped_at().is_some());
    crashed.count()
}

// Guards against a request that crashes endpoints and begins anew at each node that it is sent to, also
// at one that started later, and after the end of the node that found it out.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_nodes_refuse_a_request_that_crashed_endpoints_at_some() {
    let store = Store::start().await;
    let mut endpoints = Vec::new();
    for number in 0..ENDPOINTS {
        let endpoint = Engine::start_plain(&format!("p{number}"), &store).await;
        endpoint.crash_on(CRASHING);
        endpoints.push(endpoint);
    }
    store.put_manifest(&manifest(1, "/safe/"));
    let mut first = Node::start("crash-1", store.addr, &[]);
    let second = Node::start("crash-2", store.addr, &[&first]);
    first.ready(&[&second]).await;
    second.ready(&[&first]).await;
    first.assert_refused().await;
    tokio::time::sleep(KNOWN_WITHIN).await;
    second.assert_refused().await;
    let third = Node::start("crash-3", store.addr, &[&second]);
    third.ready(&[&first, &second]).await;
    third.assert_refused().await;
    first.0.process.kill();
    let fourth = Node::start("crash-4", store.addr, &[&third]);
    fourth.ready(&[&second, &third]).await;
    tokio::time::sleep(KNOWN_WITHIN).await;
    fourth.assert_refused().await;
    let crashed = crashed(&endpoints);
    assert!(crashed <= MAX_CRASHES, "{crashed} endpoints crashed");
    assert_eq!(second.status(HARMLESS).await, Some(StatusCode::OK));
}
