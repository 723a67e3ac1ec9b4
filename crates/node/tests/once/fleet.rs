//! Nodes, endpoints and faults of a run.

use crate::endpoint::Endpoint;
use crate::node::Node;
use crate::proxy::Mode;
use crate::shape::Shape;
use crate::standin::store::Store;
use crate::standin::{address, manifest};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

/// Number of nodes of an availability zone. All of them read the store themselves, so that each may have
/// a store of its own.
const NODES_PER_ZONE: usize = 2;
const ENDPOINTS: usize = 3;
/// Time for which the row of a run that ended stays: three heartbeats of the users' platform.
const ROW_LIFETIME: Duration = Duration::from_millis(3600);
/// Kinds of steps.
const STEPS: usize = 14;

/// A running fleet, in which each node reaches the endpoints through proxies of its own.
pub struct Fleet {
    rng: StdRng,
    stores: Vec<Store>,
    pub nodes: Vec<Node>,
    pub endpoints: Vec<Endpoint>,
    version: u64,
    /// Ids of the runs that ended, and when.
    ended: Vec<(Instant, String)>,
    shape: Shape,
}

impl Fleet {
    /// Starts all processes. The endpoints write to files in `folder`.
    pub async fn start(seed: u64, shape: Shape, faulty: bool, folder: &Path) -> Self {
        let mut stores = Vec::new();
        for _ in 0..shape.nodes {
            stores.push(Store::start().await);
        }
        let mut endpoints = Vec::new();
        for number in 0..ENDPOINTS {
            endpoints.push(Endpoint::start(number, faulty, &shape, folder, &stores).await);
        }
        let mut fleet = Self {
            rng: StdRng::seed_from_u64(seed),
            stores,
            nodes: Vec::new(),
            endpoints,
            version: 0,
            ended: Vec::new(),
            shape,
        };
        fleet.publish();
        let ports: Vec<_> = (0..2 * shape.nodes).map(|_| address::unused()).collect();
        for (number, store) in fleet.stores.iter().enumerate() {
            let zone = format!("z{}", number / NODES_PER_ZONE);
            let node = Node::start(number, &zone, store.addr, &ports);
            fleet.nodes.push(node);
        }
        fleet
    }

    /// Returns the addresses for callers.
    pub fn addrs(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|n| n.callers).collect()
    }

    /// Writes the next version of the manifest, in which each request reaches one endpoint at most.
    fn publish(&mut self) {
        self.version += 1;
        let timeout = format!(r#""timeout_ms":{}"#, self.shape.timeout_ms);
        let target = format!(r#""target_latency_ms":{}"#, self.shape.latency_target_ms);
        let once = manifest(self.version, "/safe/")
            .replace(r#""max_attempts":2"#, r#""max_attempts":1"#)
            .replace(r#""timeout_ms":5000"#, &timeout)
            .replace(r#""target_latency_ms":500"#, &target);
        self.stores.iter().for_each(|s| s.put_manifest(&once));
    }

    /// Begins or ends a fault.
    pub fn step(&mut self) {
        let node = self.rng.random_range(0..self.nodes.len());
        let endpoint = self.rng.random_range(0..self.endpoints.len());
        match self.rng.random_range(0..STEPS) {
            0 => self.nodes[node].signal("-KILL"),
            1 => self.nodes[node].signal("-TERM"),
            2 => self.nodes[node].signal("-STOP"),
            3 => self.nodes.iter_mut().for_each(|n| n.signal("-CONT")),
            4 => self.endpoints[endpoint].signal("-STOP"),
            5 => self.endpoints.iter().for_each(|e| e.signal("-CONT")),
            6 => self.endpoints[endpoint].kill(),
            7 => self.endpoints[endpoint].drain(&self.stores),
            8 | 9 => self.isolate(node),
            10 => self.reconnect(),
            11 => self.publish(),
            12 => {
                let down = self.rng.random();
                self.stores[node].set_down(down);
            }
            _ => self.disturb(node, endpoint),
        }
        self.restart_some();
    }

    /// Cuts one node off from all endpoints.
    fn isolate(&mut self, node: usize) {
        let how = self.rng.random_range(0..4);
        for endpoint in &self.endpoints {
            let proxy = &endpoint.proxies[node];
            match how {
                // The open connections live on.
                0 | 1 => proxy.refuse(true),
                2 => proxy.set(Mode::Silent),
                _ => {
                    proxy.refuse(true);
                    proxy.set(Mode::Reset(0));
                }
            }
        }
    }

    /// Ends the faults of all connections to endpoints that run.
    fn reconnect(&mut self) {
        for endpoint in &mut self.endpoints {
            let running = endpoint.is_running();
            for proxy in &endpoint.proxies {
                proxy.set(Mode::Pass);
                proxy.refuse(!running);
            }
        }
    }

    /// Delays, resets or stalls the connections of one node to one endpoint.
    fn disturb(&mut self, node: usize, endpoint: usize) {
        let mode = match self.rng.random_range(0..3) {
            0 => Mode::Delay(Duration::from_millis(self.rng.random_range(5..300))),
            1 => Mode::Reset(self.rng.random_range(0..2000)),
            _ => Mode::OneWay,
        };
        self.endpoints[endpoint].proxies[node].set(mode);
    }

    /// Restarts the nodes that have exited, and at random the endpoints that have. Removes the rows of runs
    /// that ended long ago.
    fn restart_some(&mut self) {
        self.nodes.iter_mut().for_each(Node::restart_if_exited);
        for endpoint in &mut self.endpoints {
            if !endpoint.is_running() && self.rng.random_bool(0.4) {
                let before = endpoint.restart(&self.stores);
                self.ended.push((Instant::now(), before));
            }
        }
        let stores = &self.stores;
        self.ended.retain(|(at, id)| {
            let stays = at.elapsed() < ROW_LIFETIME;
            if !stays {
                stores.iter().for_each(|s| s.put_registration(id, ""));
            }
            stays
        });
    }

    /// Ends all faults.
    pub fn end_faults(&mut self) {
        for (store, node) in self.stores.iter().zip(&mut self.nodes) {
            store.set_down(false);
            node.signal("-CONT");
            node.restart_if_exited();
        }
        for endpoint in &mut self.endpoints {
            endpoint.signal("-CONT");
            if !endpoint.is_running() {
                endpoint.restart(&self.stores);
            }
        }
        self.reconnect();
    }
}
