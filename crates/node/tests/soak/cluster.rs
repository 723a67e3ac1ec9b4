//! Nodes, endpoints, store and faults of a soak run.

use crate::node::{MEMORY_MB, Node};
use crate::proxy::{Mode, Proxy};
use crate::standin::address;
use crate::standin::engine::Engine;
use crate::standin::engine::fault::{Shedding, Streaming};
use crate::standin::manifest;
use crate::standin::store::Store;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const NODES: usize = 3;
const ENGINES: usize = 4;
const PLAIN_ENDPOINTS: usize = 2;

/// Kinds of steps that concern nodes, connections, the store and the catalog.
const BASE_STEPS: usize = 12;
/// Kinds of steps if the endpoints have faults of their own as well.
const ALL_STEPS: usize = 26;

/// An endpoint behind a proxy.
pub struct Endpoint {
    pub engine: Engine,
    pub proxy: Proxy,
}

impl Endpoint {
    async fn start(number: usize, plain: bool, store: &Store) -> Self {
        let engine = match plain {
            true => Engine::start_plain(&format!("p{number}"), store).await,
            false => Engine::start(&format!("e{number}"), store).await,
        };
        let proxy = Proxy::start(engine.addr).await;
        engine.register_as(proxy.addr);
        Self { engine, proxy }
    }

    /// Closes open connections and refuses new ones, as a process that crashes.
    fn crash(&self) {
        self.proxy.refuse(true);
        self.proxy.set(Mode::Reset(0));
    }

    /// Ends the faults of its connections.
    fn recover(&self) {
        self.proxy.refuse(false);
        self.proxy.set(Mode::Pass);
    }
}

/// A running cluster.
pub struct Cluster {
    rng: StdRng,
    pub store: Store,
    /// Proxy between each node and the store.
    store_proxies: Vec<Proxy>,
    pub endpoints: Vec<Endpoint>,
    pub nodes: Vec<Node>,
    /// Number of process starts of each node.
    pub runs: Vec<Arc<Mutex<u64>>>,
    pub newest: Arc<Mutex<u64>>,
    /// When each catalog version was written.
    pub versions: Vec<Instant>,
    /// Number of kinds of steps.
    kinds: usize,
}

impl Cluster {
    /// Starts all nodes and endpoints.
    pub async fn start(seed: u64, endpoint_faults: bool) -> Self {
        let store = Store::start().await;
        store.put_manifest(&manifest(1, "/v1/"));
        let mut endpoints = Vec::new();
        for number in 0..ENGINES + PLAIN_ENDPOINTS {
            endpoints.push(Endpoint::start(number, number >= ENGINES, &store).await);
        }
        let ports: Vec<_> = (0..2 * NODES).map(|_| address::unused()).collect();
        let (mut store_proxies, mut nodes) = (Vec::new(), Vec::new());
        for number in 0..NODES {
            let proxy = Proxy::start(store.addr).await;
            nodes.push(Node::start(number, "a", proxy.addr, &ports));
            store_proxies.push(proxy);
        }
        Self {
            rng: StdRng::seed_from_u64(seed),
            store,
            store_proxies,
            endpoints,
            nodes,
            runs: (0..NODES).map(|_| Arc::new(Mutex::new(1))).collect(),
            newest: Arc::new(Mutex::new(1)),
            versions: vec![Instant::now()],
            kinds: if endpoint_faults {
                ALL_STEPS
            } else {
                BASE_STEPS
            },
        }
    }

    /// Returns the addresses for callers.
    pub fn addrs(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|n| n.callers).collect()
    }

    /// Begins or ends a fault.
    pub async fn step(&mut self) {
        let node = self.rng.random_range(0..NODES);
        match self.rng.random_range(0..self.kinds) {
            0 => {
                let fault = self.fault();
                self.store_proxies[node].set(fault);
            }
            1 => self.store_proxies[node].set(Mode::Pass),
            2 | 3 => {
                let proxy = self.rng.random_range(0..self.endpoints.len());
                let fault = self.fault();
                self.endpoints[proxy].proxy.set(fault);
            }
            4 | 5 => self.endpoints.iter().for_each(Endpoint::recover),
            6 => self.nodes[node].signal("-KILL"),
            7 => self.nodes[node].signal("-TERM"),
            8 => self.nodes[node].signal("-STOP"),
            9 => self.nodes.iter_mut().for_each(|n| n.signal("-CONT")),
            10 => {
                let down = self.rng.random();
                self.store.set_down(down);
                self.store.compact();
            }
            11 => self.version(),
            12..=15 => self.shed(),
            16 | 17 => self.leave().await,
            18..=22 => self.pause_streams(),
            23 => self.break_streams(),
            24 => self.crash(),
            _ => self.version(),
        }
        self.restart_nodes();
    }

    fn restart_nodes(&mut self) {
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
        self.versions.push(Instant::now());
    }

    /// A share of the endpoints, or all, turn requests away for a time.
    fn shed(&mut self) {
        let share = *[0.3, 0.6, 1.0].get(self.rng.random_range(0..3)).unwrap();
        for endpoint in &self.endpoints {
            if self.rng.random_bool(share) {
                endpoint.engine.shed(Shedding {
                    share: self.rng.random_range(0.4..1.0),
                    rest: Duration::from_secs(self.rng.random_range(1..=3)),
                    until: Instant::now() + Duration::from_millis(self.rng.random_range(500..3000)),
                });
            }
        }
    }

    /// An endpoint leaves: its responses say so at once, the store hears of it later or never. A
    /// replacement starts first.
    async fn leave(&mut self) {
        let number = self.rng.random_range(0..self.endpoints.len());
        let engine = self.endpoints[number].engine.clone();
        let drains = self.rng.random_bool(0.5);
        let drains_after = Duration::from_millis(self.rng.random_range(500..4000));
        let stays = Duration::from_millis(self.rng.random_range(4000..8000));
        if engine.is_leaving() {
            return;
        }
        let (next, plain) = (self.endpoints.len(), engine.is_plain());
        self.endpoints
            .push(Endpoint::start(next, plain, &self.store).await);
        engine.leave();
        tokio::spawn(async move {
            if drains {
                tokio::time::sleep(drains_after).await;
                engine.drain();
            }
            tokio::time::sleep(stays).await;
            engine.stop();
        });
    }

    /// A share of the engines are busy for a time: their responses pause, and go on.
    fn pause_streams(&mut self) {
        for endpoint in &self.endpoints {
            if self.rng.random_bool(0.5) {
                endpoint.engine.stream(Streaming::Pause {
                    before: self.rng.random_range(1..=3),
                    pause: Duration::from_millis(self.rng.random_range(800..1950)),
                    until: Instant::now() + Duration::from_millis(self.rng.random_range(500..3000)),
                });
            }
        }
    }

    fn break_streams(&mut self) {
        let number = self.rng.random_range(0..self.endpoints.len());
        self.endpoints[number].engine.stream(Streaming::Break {
            before: self.rng.random_range(1..=3),
            until: Instant::now() + Duration::from_millis(self.rng.random_range(500..2000)),
        });
    }

    /// Two endpoints crash together, until connections recover.
    fn crash(&mut self) {
        for _ in 0..2 {
            let number = self.rng.random_range(0..self.endpoints.len());
            self.endpoints[number].crash();
        }
    }

    /// Returns the nodes that have exceeded the memory of their settings.
    pub fn memory_excess(&self) -> Vec<String> {
        let peaks = self.nodes.iter().filter_map(|n| Some((n, n.peak_kb()?)));
        let excess = peaks.filter(|(_, peak)| *peak > MEMORY_MB * 1024);
        excess
            .map(|(n, peak)| format!("{} used {peak} KB", n.callers))
            .collect()
    }

    /// Ends all faults.
    pub fn end_faults(&mut self) {
        self.store.set_down(false);
        self.store_proxies.iter().for_each(|p| p.set(Mode::Pass));
        for endpoint in &self.endpoints {
            endpoint.recover();
            endpoint.engine.end_faults();
        }
        self.nodes.iter_mut().for_each(|n| n.signal("-CONT"));
        self.restart_nodes();
    }
}
