//! A store that comes back from an older copy of itself, before a fleet of real nodes.

#[path = "support/instance.rs"]
mod instance;
#[path = "support/process.rs"]
mod process;
#[path = "../../../platform/standin/mod.rs"]
mod standin;

use instance::Instance;
use standin::manifest;
use standin::store::Store;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Number of nodes, more than read the store themselves.
const NODES: usize = 5;
/// Time within which a catalog must be in force at all nodes after its ack.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(2);
const START_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const KEY: &str = "03030303030303030303030303030303030303030303030303030303030303ff";

struct Fleet {
    store: Store,
    nodes: Vec<Instance>,
    /// Version of the last catalog that was published.
    version: u64,
}

impl Fleet {
    /// Starts nodes that have the catalog in force which the store holds.
    async fn start(name: &str) -> Self {
        let store = Store::start().await;
        store.name_era();
        let mut fleet = Self {
            store,
            nodes: Vec::new(),
            version: 9,
        };
        fleet.publish();
        for number in 0..NODES {
            fleet.add_node(&format!("{name}-{number}"), fleet.store.addr);
        }
        fleet.assert_in_force(START_TIMEOUT).await;
        // Until the nodes know each other, all of them read the store.
        sleep(Duration::from_secs(3)).await;
        fleet
    }

    fn add_node(&mut self, name: &str, store: SocketAddr) {
        let seeds: Vec<SocketAddr> = self.nodes.iter().map(|n| n.peers).collect();
        let node = Instance::start(name, KEY, &seeds, store);
        self.nodes.push(node);
    }

    /// Writes the operator's next catalog.
    fn publish(&mut self) {
        self.version += 1;
        self.store.put_manifest(&manifest(self.version, "/safe/"));
    }

    /// Publishes several catalogs, so that each is in force before the next one.
    async fn publish_in_turn(&mut self, count: usize) {
        for _ in 0..count {
            self.publish();
            self.assert_in_force(IN_FORCE_WITHIN).await;
        }
    }

    /// Asserts that all nodes have the last catalog in force within this time.
    async fn assert_in_force(&self, limit: Duration) {
        let deadline = Instant::now() + limit;
        let newest = format!("catalog {}\n", self.version);
        let mut late = Vec::new();
        for node in &self.nodes {
            loop {
                let dump = node.page("/dump").await.unwrap_or_default();
                if dump.contains(&newest) {
                    break;
                }
                if Instant::now() >= deadline {
                    late.push(catalog_line(&dump));
                    break;
                }
                sleep(POLL_INTERVAL).await;
            }
        }
        assert!(late.is_empty(), "{newest} is not in force, but {late:?}");
    }
}

fn catalog_line(dump: &str) -> String {
    let mut lines = dump.lines();
    let line = lines.find(|line| line.starts_with("catalog "));
    line.unwrap_or_default().to_owned()
}

// Guards against nodes that read on from their offset in a store that has given it out again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_catalog_is_in_force_after_the_store_was_restored() {
    let mut fleet = Fleet::start("restored").await;
    fleet.publish_in_turn(4).await;
    // As many records are written as were lost, more, and fewer, so that reads end beyond the end.
    for (lost, written) in [(2, 2), (1, 3), (3, 1)] {
        fleet.store.restore(lost);
        (0..written).for_each(|_| fleet.publish());
        fleet.assert_in_force(IN_FORCE_WITHIN).await;
        fleet.publish_in_turn(2).await;
    }
    // Restored while it is away, and twice in a row.
    for restores in [1, 2] {
        fleet.store.set_down(true);
        (0..restores).for_each(|_| fleet.store.restore(2));
        sleep(Duration::from_secs(1)).await;
        fleet.store.set_down(false);
        fleet.publish();
        fleet.assert_in_force(IN_FORCE_WITHIN).await;
        fleet.publish_in_turn(2).await;
    }
}

// Guards against a node without the store that keeps to the offsets from before the restore, or pulls
// the others back to them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_that_is_cut_off_from_the_store_follows_its_peers() {
    let mut fleet = Fleet::start("cut").await;
    let (addr, cut) = fleet.store.second_address().await;
    fleet.add_node("cut-off", addr);
    fleet.publish_in_turn(4).await;
    *cut.lock().unwrap() = true;
    fleet.store.restore(3);
    fleet.publish();
    fleet.assert_in_force(IN_FORCE_WITHIN).await;
    fleet.publish_in_turn(2).await;
    *cut.lock().unwrap() = false;
    fleet.publish_in_turn(2).await;
}
