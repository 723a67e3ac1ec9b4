//! Soak test: real nodes against stand-ins of the platform, with injected faults chosen by a seed.
//!
//! Faults follow each other and overlap: connections to endpoints and to the store are delayed,
//! reset, stalled or cut in one direction; nodes are paused, killed, terminated and restarted; the
//! store is down or discards its history; catalog versions replace each other. Callers send
//! requests throughout. The following guarantees are checked from what callers and endpoints
//! observed:
//!
//! - an at-most-once request runs at most once;
//! - a request that was reported to its caller as not run has not run;
//! - a response belongs to its request, and one that ends as complete is complete;
//! - a node that has served a catalog version never serves an older one in the same run;
//! - after all faults have ended, all nodes serve again.
//!
//! `SOAK_SEEDS=100..150 cargo test --release -p wigeonshelf --test soak -- --nocapture` runs other
//! seeds.

#[path = "support/process.rs"]
mod process;
#[path = "soak/proxy.rs"]
mod proxy;
#[path = "../../../platform/standin/mod.rs"]
mod standin;

use http::StatusCode;
use process::Process;
use proxy::{Mode, Proxy};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use standin::address;
use standin::caller::{self, Answer, Call};
use standin::engine::{EVENTS, Engine};
use standin::manifest;
use standin::store::Store;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Default seeds, also run in CI. 104 and 128 fail if two concurrent soak runs pick the same free
/// ports, so that nodes of one send requests to endpoints of the other; addresses are therefore
/// unique per process.
const SEEDS: [u64; 4] = [1, 2, 104, 128];
const NODES: usize = 3;
/// Steps of a run; a fault may begin or end in each of them.
const STEPS: usize = 30;
const STEP_INTERVAL: Duration = Duration::from_millis(150);
/// Maximum number of requests, 20 ms apart, until a node must serve again.
const MAX_POLLS: usize = 1500;

/// A node that is restarted after it has exited.
struct Node {
    process: Process,
    /// Number of process starts so far; versions must not decrease within one run of the process.
    run: u64,
    callers: SocketAddr,
}

impl Node {
    fn start(number: usize, store: SocketAddr, ports: &[SocketAddr]) -> Self {
        let own = &ports[number * 2..];
        let seeds: Vec<String> = (0..NODES).map(|n| ports[n * 2 + 1].to_string()).collect();
        let content = format!(
            "[node]\nname = n{number}\nzone = a\nregion = south\ngrace = 2s\n\
             [callers]\nlisten = {}\n[peers]\nlisten = {}\nkey = {}\nseeds = {}\n\
             [store]\naddress = {store}\nheartbeat = 200ms\n",
            own[0],
            own[1],
            "02".repeat(32),
            seeds.join(",")
        );
        Self {
            process: Process::start(process::settings(own[0], &content)),
            run: 1,
            callers: own[0],
        }
    }

    fn signal(&self, name: &str) {
        // A process that has just exited can't be signalled; it is restarted anyway.
        let _ = self.process.signal(name);
    }

    fn restart_if_exited(&mut self) {
        if self.process.exit_status().is_some() {
            self.process.restart();
            self.run += 1;
        }
    }
}

/// What callers observed.
#[derive(Default)]
struct Observations {
    /// Status of each at-most-once request, by its id.
    at_most_once: BTreeMap<String, StatusCode>,
    answered: usize,
    violations: Vec<String>,
}

async fn send_request(addr: SocketAddr, path: &str, id: &str) -> Option<Answer> {
    let call = Call {
        method: "POST",
        path,
        id,
        key: "k1",
        deadline: "3000",
    };
    caller::send(addr, &call).await
}

/// Runs one caller, which sends requests of each kind until `end` is set.
async fn caller(
    seed: u64,
    nodes: Vec<SocketAddr>,
    number: usize,
    observed: Arc<Mutex<Observations>>,
    end: Arc<Mutex<bool>>,
) {
    let mut count = 0;
    while !*end.lock().unwrap() {
        count += 1;
        let addr = nodes[(count + number) % nodes.len()];
        let id = format!("s{seed}-{}-c{number}-{count}", std::process::id());
        let path = ["/chat/x", "/once/x"][count % 2];
        let limit = Duration::from_secs(4);
        let got = tokio::time::timeout(limit, send_request(addr, path, &id)).await;
        let Some(got) = got.ok().flatten() else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let mut observed = observed.lock().unwrap();
        match path {
            "/once/x" => {
                observed.at_most_once.insert(id.clone(), got.status);
                if got.status == StatusCode::OK && got.complete && !got.body.ends_with(&id) {
                    observed
                        .violations
                        .push(format!("{id} got {:.60?}", got.body));
                }
            }
            _ if got.status == StatusCode::OK => {
                let lines = got.body.lines().filter_map(|l| l.strip_prefix("id: "));
                let ids: Vec<u64> = lines.filter_map(|n| n.parse().ok()).collect();
                let expected: Vec<u64> = (1..=EVENTS).collect();
                if !expected.starts_with(&ids) || (got.complete && ids != expected) {
                    observed.violations.push(format!(
                        "{id} got events {ids:?}, complete {}",
                        got.complete
                    ));
                }
            }
            _ => {}
        }
        observed.answered += usize::from(got.status == StatusCode::OK);
    }
}

/// Checks that one node never serves an older version after a newer one. Version `n` has the route
/// `/v{n}/`.
async fn watch_versions(
    addr: SocketAddr,
    run: Arc<Mutex<u64>>,
    newest: Arc<Mutex<u64>>,
    observed: Arc<Mutex<Observations>>,
    end: Arc<Mutex<bool>>,
) {
    let (mut served, mut served_run) = (0, 0);
    while !*end.lock().unwrap() {
        let before = *run.lock().unwrap();
        if before != served_run {
            (served, served_run) = (0, before);
        }
        let newest = *newest.lock().unwrap();
        for version in served.max(1)..=newest {
            let got = send_request(addr, &format!("/v{version}/x"), "v").await;
            if *run.lock().unwrap() != served_run {
                break;
            }
            let known = got.is_some_and(|g| {
                g.status != StatusCode::NOT_FOUND && g.status != StatusCode::SERVICE_UNAVAILABLE
            });
            if known && version > served {
                served = version;
            }
        }
        if served > 1 {
            let old = served - 1;
            let got = send_request(addr, &format!("/v{old}/x"), "v").await;
            if *run.lock().unwrap() == served_run && got.is_some_and(|g| g.status == StatusCode::OK)
            {
                observed
                    .lock()
                    .unwrap()
                    .violations
                    .push(format!("{addr} served {old} after {served}"));
            }
        }
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
}

/// Nodes, store, proxies and faults of one soak run.
struct Cluster {
    rng: StdRng,
    store: Store,
    /// Proxy between each node and the store.
    store_proxies: Vec<Proxy>,
    /// Proxy in front of each endpoint.
    endpoint_proxies: Vec<Proxy>,
    nodes: Vec<Node>,
    runs: Vec<Arc<Mutex<u64>>>,
    newest: Arc<Mutex<u64>>,
}

impl Cluster {
    /// Begins or ends a fault.
    fn step(&mut self) {
        let node = self.rng.random_range(0..NODES);
        match self.rng.random_range(0..12) {
            0 => {
                let fault = self.fault();
                self.store_proxies[node].set(fault);
            }
            1 => self.store_proxies[node].set(Mode::Pass),
            2 | 3 => {
                let proxy = self.rng.random_range(0..self.endpoint_proxies.len());
                let fault = self.fault();
                self.endpoint_proxies[proxy].set(fault);
            }
            4 | 5 => self.endpoint_proxies.iter().for_each(|w| w.set(Mode::Pass)),
            6 => self.nodes[node].signal("-KILL"),
            7 => self.nodes[node].signal("-TERM"),
            8 => self.nodes[node].signal("-STOP"),
            9 => self.nodes.iter().for_each(|n| n.signal("-CONT")),
            10 => {
                let down = self.rng.random();
                self.store.set_down(down);
                self.store.compact();
            }
            _ => self.version(),
        }
        for (node, run) in self.nodes.iter_mut().zip(&self.runs) {
            node.restart_if_exited();
            *run.lock().unwrap() = node.run;
        }
    }

    fn fault(&mut self) -> Mode {
        match self.rng.random_range(0..4) {
            0 => Mode::Delay(Duration::from_millis(self.rng.random_range(5..300))),
            1 => Mode::Reset(self.rng.random_range(0..5000)),
            2 => Mode::Silent,
            _ => Mode::OneWay,
        }
    }

    fn version(&mut self) {
        let mut newest = self.newest.lock().unwrap();
        let next = *newest + 1;
        self.store
            .put_manifest(&manifest(next, &format!("/v{next}/")));
        *newest = next;
    }

    /// Ends all faults.
    fn end_faults(&mut self) {
        self.store.set_down(false);
        self.store_proxies
            .iter()
            .chain(&self.endpoint_proxies)
            .for_each(|p| p.set(Mode::Pass));
        self.nodes.iter().for_each(|n| n.signal("-CONT"));
        for (node, run) in self.nodes.iter_mut().zip(&self.runs) {
            node.restart_if_exited();
            *run.lock().unwrap() = node.run;
        }
    }
}

async fn soak(seed: u64) {
    let store = Store::start().await;
    store.put_manifest(&manifest(1, "/v1/"));
    let mut engines = Vec::new();
    for number in 0..4 {
        engines.push(Engine::start(&format!("e{number}"), &store).await);
    }
    for number in 0..2 {
        engines.push(Engine::start_plain(&format!("p{number}"), &store).await);
    }
    let mut endpoint_proxies = Vec::new();
    for engine in &engines {
        let proxy = Proxy::start(engine.addr).await;
        engine.register_as(proxy.addr);
        endpoint_proxies.push(proxy);
    }
    let ports: Vec<_> = (0..2 * NODES).map(|_| address::unused()).collect();
    let (mut store_proxies, mut nodes) = (Vec::new(), Vec::new());
    for number in 0..NODES {
        let proxy = Proxy::start(store.addr).await;
        nodes.push(Node::start(number, proxy.addr, &ports));
        store_proxies.push(proxy);
    }
    let addrs: Vec<SocketAddr> = nodes.iter().map(|n| n.callers).collect();
    let observed: Arc<Mutex<Observations>> = Arc::default();
    let end: Arc<Mutex<bool>> = Arc::default();
    let newest = Arc::new(Mutex::new(1));
    let runs: Vec<_> = (0..NODES).map(|_| Arc::new(Mutex::new(1))).collect();
    let mut cluster = Cluster {
        rng: StdRng::seed_from_u64(seed),
        store,
        store_proxies,
        endpoint_proxies,
        nodes,
        runs: runs.clone(),
        newest: newest.clone(),
    };
    wait_until_serving(&mut cluster, &addrs, seed).await;
    let mut tasks = Vec::new();
    for number in 0..6 {
        tasks.push(tokio::spawn(caller(
            seed,
            addrs.clone(),
            number,
            observed.clone(),
            end.clone(),
        )));
    }
    for (addr, run) in addrs.iter().zip(runs) {
        tasks.push(tokio::spawn(watch_versions(
            *addr,
            run,
            newest.clone(),
            observed.clone(),
            end.clone(),
        )));
    }
    for _ in 0..STEPS {
        tokio::time::sleep(STEP_INTERVAL).await;
        cluster.step();
    }
    cluster.end_faults();
    *end.lock().unwrap() = true;
    for task in tasks {
        let _ = tokio::time::timeout(Duration::from_secs(10), task).await;
    }
    wait_until_serving(&mut cluster, &addrs, seed).await;
    check_guarantees(seed, &observed.lock().unwrap(), &engines);
}

/// Ends all faults and waits until every node serves each kind of request.
async fn wait_until_serving(cluster: &mut Cluster, addrs: &[SocketAddr], seed: u64) {
    for addr in addrs {
        for path in ["/chat/x", "/once/x"] {
            let mut polls = 0;
            loop {
                let limit = Duration::from_secs(4);
                let got = tokio::time::timeout(limit, send_request(*addr, path, "again")).await;
                if got
                    .ok()
                    .flatten()
                    .is_some_and(|g| g.status == StatusCode::OK)
                {
                    break;
                }
                polls += 1;
                assert!(
                    polls < MAX_POLLS,
                    "seed {seed}: {addr} does not serve {path} again"
                );
                tokio::time::sleep(Duration::from_millis(20)).await;
                cluster.end_faults();
            }
        }
    }
}

fn check_guarantees(seed: u64, observed: &Observations, engines: &[Engine]) {
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for id in engines.iter().flat_map(Engine::runs) {
        *runs.entry(id).or_default() += 1;
    }
    let mut violations = observed.violations.clone();
    for (id, status) in &observed.at_most_once {
        let count = runs.get(id).copied().unwrap_or(0);
        if count > 1 {
            violations.push(format!("{id} ran {count} times"));
        }
        let promised_not_run = matches!(status.as_u16(), 408 | 421 | 429 | 503);
        if promised_not_run && count > 0 {
            violations.push(format!("{id} ran although its caller got {status}"));
        }
    }
    let (once, answered) = (observed.at_most_once.len(), observed.answered);
    println!(
        "seed {seed}: {answered} answered, {once} at most once, {} wrong",
        violations.len()
    );
    assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
}

fn seeds() -> Vec<u64> {
    let given = std::env::var("SOAK_SEEDS").ok();
    let range = given.as_deref().and_then(|g| g.split_once(".."));
    let range = range.and_then(|(from, to)| Some((from.parse().ok()?, to.parse().ok()?)));
    range.map_or(SEEDS.to_vec(), |(from, to): (u64, u64)| {
        (from..to).collect()
    })
}

#[test]
fn guarantees_hold_under_faults() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    for seed in seeds() {
        runtime.block_on(soak(seed));
    }
}
