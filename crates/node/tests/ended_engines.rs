//! Engines that end, in a fleet of real nodes: how soon all nodes know.

#[path = "support/instance.rs"]
mod instance;
#[path = "support/process.rs"]
mod process;
#[path = "../../../platform/standin/mod.rs"]
mod standin;

use futures::future::join_all;
use instance::Instance;
use standin::engine::Engine;
use standin::manifest;
use standin::store::Store;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

const NODES: usize = 3;
const ENGINES: usize = 8;
const TIMEOUT: Duration = Duration::from_secs(30);
/// Time after a crash in which all nodes know of it.
const MAX_CRASH_TIME: Duration = Duration::from_millis(60);
/// Median of the time after which all nodes know that an engine answers nothing.
const MAX_DARK_TIME: Duration = Duration::from_millis(300);
/// Time of several polls.
const POLLS: Duration = Duration::from_millis(800);

struct Fleet {
    nodes: Vec<Instance>,
    engines: Vec<Engine>,
    _store: Store,
}

impl Fleet {
    /// Starts nodes and engines, and waits until the nodes poll the engines.
    async fn start(name: &str) -> Self {
        let store = Store::start().await;
        store.put_manifest(&manifest(1, "/safe/"));
        let mut engines = Vec::new();
        for number in 0..ENGINES {
            let engine = Engine::start(&format!("e{number}"), &store).await;
            engine.set_used(10);
            engines.push(engine);
        }
        let mut nodes: Vec<Instance> = Vec::new();
        for number in 0..NODES {
            let seeds: Vec<SocketAddr> = nodes.iter().map(|n| n.peers).collect();
            let name = format!("{name}-{number}");
            nodes.push(Instance::start(&name, &"03".repeat(32), &seeds, store.addr));
        }
        let fleet = Self {
            nodes,
            engines,
            _store: store,
        };
        let settled = |dumps: &[String]| {
            let up = |dump: &String| dump.matches(" Up ").count() == NODES;
            let polled = dumps.iter().map(|d| d.matches(" every 150 ms").count());
            dumps.iter().all(up) && polled.sum::<usize>() == ENGINES
        };
        fleet.wait_until(settled).await;
        fleet
    }

    async fn dumps(&self) -> Vec<String> {
        let dumps = join_all(self.nodes.iter().map(|n| n.page("/dump"))).await;
        dumps.into_iter().map(Option::unwrap_or_default).collect()
    }

    /// Waits until the dumps of the nodes are as expected, and returns the time that it took.
    async fn wait_until(&self, expected: impl Fn(&[String]) -> bool) -> Duration {
        let started = Instant::now();
        let wait = async {
            while !expected(&self.dumps().await) {
                sleep(Duration::from_millis(2)).await;
            }
        };
        let done = timeout(TIMEOUT, wait).await;
        done.expect("the nodes don't get there");
        started.elapsed()
    }

    /// Waits until all nodes, or none, consider an engine ended.
    async fn wait_until_ended(&self, number: usize, ended: bool) -> Duration {
        let line = format!("\nended e{number}@7\n");
        let expected = |dumps: &[String]| dumps.iter().all(|d| d.contains(&line) == ended);
        self.wait_until(expected).await
    }
}

/// Guards against a crash that each node finds out by itself, hundreds of milliseconds later.
#[tokio::test(flavor = "multi_thread")]
async fn all_nodes_know_of_a_crash_within_milliseconds() {
    let fleet = Fleet::start("crash").await;
    fleet.engines[2].crash();
    let time = fleet.wait_until_ended(2, true).await;
    println!("all nodes know after {time:?}");
    assert!(time <= MAX_CRASH_TIME, "{time:?}");
    // A refusal counts as two failure reports, so no node needs one of its own.
    let failing = |dumps: &[String]| dumps.iter().all(|d| d.contains("\nfailing e2@7\n"));
    assert!(failing(&fleet.dumps().await));
    sleep(POLLS).await;
    let dumps = fleet.dumps().await;
    for number in (0..ENGINES).filter(|n| *n != 2) {
        let line = format!("\nended e{number}@7\n");
        assert!(dumps.iter().all(|d| !d.contains(&line)), "e{number}");
    }
}

/// Guards against a dark engine that is found by the responses through it alone, and against a verdict
/// that stays when it answers again.
#[tokio::test(flavor = "multi_thread")]
async fn all_nodes_know_of_a_dark_engine_and_of_its_return() {
    let fleet = Fleet::start("dark").await;
    let mut times = Vec::new();
    for number in 0..5 {
        fleet.engines[number].set_dark(true);
        times.push(fleet.wait_until_ended(number, true).await);
        fleet.engines[number].set_dark(false);
        fleet.wait_until_ended(number, false).await;
        // The polls are at another phase each time.
        sleep(Duration::from_millis(211)).await;
    }
    times.sort_unstable();
    println!("all nodes know after {times:?}");
    assert!(times[2] <= MAX_DARK_TIME, "{times:?}");
}

/// Guards against a verdict on an engine that leaves.
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_leaves_does_not_count_as_ended() {
    let fleet = Fleet::start("leave").await;
    fleet.engines[1].leave();
    let unwatched = |dumps: &[String]| dumps.iter().all(|d| !d.contains("watched e1@7"));
    fleet.wait_until(unwatched).await;
    fleet.engines[1].crash();
    sleep(POLLS).await;
    let dumps = fleet.dumps().await;
    assert!(dumps.iter().all(|d| !d.contains("ended e1@7")), "{dumps:?}");
}
