//! Nodes that have lost their paths to all endpoints, in a fleet of real nodes.
//!
//! These nodes read a store of their own, which lists the endpoints at addresses that refuse
//! connections. Peers and callers reach them.

#[path = "support/instance.rs"]
mod instance;
#[path = "support/process.rs"]
mod process;
#[path = "../../../platform/standin/mod.rs"]
mod standin;

use adapter::header::Headers;
use futures::future::join_all;
use gate::dialect::Dialect;
use http::StatusCode;
use instance::Instance;
use standin::address;
use standin::caller::{self, Call};
use standin::engine::Engine;
use standin::manifest;
use standin::store::Store;
use std::net::SocketAddr;
use std::time::Duration;

/// Number of nodes of each kind, so many that their reports take an endpoint from all.
const NODES: usize = 2;
const ENDPOINTS: usize = 4;
/// Time from the beginning of a partition in which callers may be refused.
const TOLERATED: Duration = Duration::from_secs(3);
/// Number of requests that are sent to each node, and the time between two of them.
const REQUESTS: usize = 40;
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
const START_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A fleet in which some nodes reach no endpoint.
struct Fleet {
    /// Nodes that reach no endpoint, in zone `a`.
    isolated: Vec<Instance>,
    /// The other nodes, in zone `b`.
    connected: Vec<Instance>,
    /// Store of the isolated nodes.
    isolated_store: Store,
    endpoints: Vec<Engine>,
}

impl Fleet {
    async fn start(name: &str) -> Self {
        let (store, isolated_store) = (Store::start().await, Store::start().await);
        let mut endpoints = Vec::new();
        for number in 0..ENDPOINTS {
            let endpoint = Engine::start_plain(&format!("p{number}"), &store).await;
            endpoint.register_at(&isolated_store, address::unused());
            endpoints.push(endpoint);
        }
        let mut fleet = Self {
            isolated: Vec::new(),
            connected: Vec::new(),
            isolated_store,
            endpoints,
        };
        let mut seeds: Vec<SocketAddr> = Vec::new();
        for number in 0..NODES {
            for (zone, store) in [("a", &fleet.isolated_store), ("b", &store)] {
                store.put_manifest(&manifest(1, "/safe/"));
                let name = format!("{name}-{zone}-{number}");
                let node = Instance::start_in(zone, &name, &"02".repeat(32), &seeds, store.addr);
                seeds.push(node.peers);
                match zone {
                    "a" => fleet.isolated.push(node),
                    _ => fleet.connected.push(node),
                }
            }
        }
        fleet.wait_until_known().await;
        fleet
    }

    fn nodes(&self) -> impl Iterator<Item = &Instance> {
        self.isolated.iter().chain(&self.connected)
    }

    /// Waits until all nodes know each other.
    async fn wait_until_known(&self) {
        let known = async {
            for node in self.nodes() {
                while node
                    .page("/dump")
                    .await
                    .is_none_or(|dump| up(&dump) < 2 * NODES)
                {
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
            }
        };
        let known = tokio::time::timeout(START_TIMEOUT, known).await;
        known.expect("the nodes don't know each other");
    }

    /// Sends requests to all nodes for as long as callers may be refused, and then counts those that are
    /// served: at the isolated nodes, and at the others.
    async fn served(&self) -> (usize, usize) {
        let started = tokio::time::Instant::now();
        while started.elapsed() < TOLERATED {
            join_all(self.nodes().map(status)).await;
            tokio::time::sleep(REQUEST_INTERVAL).await;
        }
        let (mut isolated, mut connected) = (0, 0);
        for _ in 0..REQUESTS {
            let served = |status: &Option<StatusCode>| *status == Some(StatusCode::OK);
            let statuses = join_all(self.nodes().map(status)).await;
            let (first, second) = statuses.split_at(NODES);
            isolated += first.iter().filter(|s| served(s)).count();
            connected += second.iter().filter(|s| served(s)).count();
            tokio::time::sleep(REQUEST_INTERVAL).await;
        }
        (isolated, connected)
    }
}

/// Returns the number of nodes in a dump that are up.
fn up(dump: &str) -> usize {
    let nodes = dump.lines().filter(|l| l.starts_with("node "));
    nodes.filter(|l| l.contains(" Up ")).count()
}

fn call<'a>(path: &'a str, id: &'a str) -> Call<'a> {
    Call {
        method: "GET",
        path,
        id,
        key: "k1",
        deadline: "2000",
    }
}

/// Sends a request and returns its status; `None` if the node does not respond.
async fn status(node: &Instance) -> Option<StatusCode> {
    let answer = caller::send(node.callers, &call("/safe/x", "r1")).await;
    Some(answer?.status)
}

/// Returns the list of addresses that a node gives to callers.
async fn addresses(node: &Instance) -> String {
    let path = Headers::default().addresses_path();
    let path = format!("{path}?name=h&region=south&zone=a");
    let answer = caller::send(node.addresses, &call(&path, "")).await;
    answer.map(|a| a.body).unwrap_or_default()
}

// Guards against nodes that lost their paths and whose reports take sound endpoints from all nodes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn isolated_nodes_take_no_endpoint_from_the_others() {
    let fleet = Fleet::start("evidence").await;
    let (_, connected) = fleet.served().await;
    assert_eq!(connected, NODES * REQUESTS);
    for node in &fleet.connected {
        let dump = node.page("/dump").await.unwrap();
        let failing = dump.lines().filter(|l| l.starts_with("failing "));
        assert_eq!(failing.count(), 0, "{dump}");
    }
}

// Guards against a refusal of the callers of a node that lost its paths, though other nodes could serve
// them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_of_isolated_nodes_are_served() {
    let fleet = Fleet::start("relay").await;
    let (isolated, _) = fleet.served().await;
    // A tenth may fail, since each node learns by itself which others reach endpoints.
    assert!(isolated * 10 >= NODES * REQUESTS * 9, "served {isolated}");
}

// Guards against callers that are sent to nodes which lost their paths.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_are_not_sent_to_isolated_nodes() {
    let fleet = Fleet::start("addresses").await;
    fleet.served().await;
    for node in fleet.nodes() {
        let list = addresses(node).await;
        let listed = |n: &&Instance| list.contains(&n.callers.to_string());
        assert_eq!(fleet.isolated.iter().filter(listed).count(), 0, "{list}");
        assert_eq!(
            fleet.connected.iter().filter(listed).count(),
            NODES,
            "{list}"
        );
    }
}

// Guards against a node that goes on handing requests to its peers after its paths are back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_serves_by_itself_when_its_paths_are_back() {
    let mut fleet = Fleet::start("heal").await;
    fleet.served().await;
    for endpoint in &fleet.endpoints {
        endpoint.register_at(&fleet.isolated_store, endpoint.addr);
    }
    tokio::time::sleep(TOLERATED).await;
    for node in &mut fleet.connected {
        // A stopped process answers nothing, so what is served now is served without it.
        node.process.kill();
    }
    let node = &fleet.isolated[0];
    assert_eq!(status(node).await, Some(StatusCode::OK));
}
