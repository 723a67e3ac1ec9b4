//! The first node of a fleet, which plans orders to 12,000 endpoints, while a peer publishes
//! observations at a high rate, so that the node's view changes with almost every message.
//!
//! The node is the real binary, which reads the store itself. Its peer is a stand-in.

#[path = "support/instance.rs"]
mod instance;
#[path = "support/process.rs"]
mod process;
#[path = "support/reader.rs"]
mod reader;
#[path = "../../../platform/standin/mod.rs"]
mod standin;

use instance::Instance;
use member::Message;
use member::identity;
use member::item::{Item, Observation};
use member::message::Body;
use reader::Reader;
use standin::manifest;
use standin::store::Store;
use std::time::Duration;
use tokio::time::Instant;

/// A recurring task of control, which pauses after each run for a multiple of the run's duration.
struct Task {
    /// Label of the task in the metrics.
    name: &'static str,
    rest_factor: u32,
    max_rest: Duration,
}

/// The tasks, with the pauses that the control state sets.
const TASKS: [Task; 2] = [
    Task {
        name: "plan",
        rest_factor: 9,
        max_rest: Duration::from_secs(2),
    },
    Task {
        name: "view",
        rest_factor: 4,
        max_rest: Duration::from_millis(400),
    },
];

/// Time for which control is measured.
const MEASUREMENT_TIME: Duration = Duration::from_secs(5);
/// Time limit until the node plans orders.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval of the checks for an expected state.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of endpoints.
const ENDPOINTS: usize = 12_000;
/// Interval at which the peer publishes an observation.
const PUBLICATION_INTERVAL: Duration = Duration::from_millis(2);

/// Runs of a task so far.
#[derive(Debug, Default)]
struct Runs {
    /// Total duration, in seconds.
    time: f64,
    /// Upper bound of each bucket of the histogram in seconds, and the number of runs up to it.
    buckets: Vec<(f64, f64)>,
}

impl Runs {
    /// Reads the runs of a task from the text of the metrics.
    fn parse(metrics: &str, task: &str) -> Self {
        let label = format!("task=\"{task}\"");
        let mut runs = Self::default();
        for line in metrics.lines().filter(|l| l.contains(&label)) {
            let Some(value) = line.split_whitespace().last().and_then(|v| v.parse().ok()) else {
                continue;
            };
            if line.starts_with("wigeonshelf_control_seconds_sum") {
                runs.time = value;
            } else if line.starts_with("wigeonshelf_control_seconds_bucket") {
                let bound = line.split("le=\"").nth(1).and_then(|l| l.split('"').next());
                let bound = bound.and_then(|b| b.parse().ok());
                runs.buckets.push((bound.expect("a bound"), value));
            }
        }
        runs
    }

    fn count(&self) -> f64 {
        self.buckets.last().map_or(0.0, |(_, count)| *count)
    }

    /// Returns the least total duration of the pauses after these runs, but for those in `before`, in
    /// seconds. Each run counts as the shortest of its bucket.
    fn least_rest(&self, before: &Self, task: &Task) -> f64 {
        let known = |index: usize| before.buckets.get(index).map_or(0.0, |(_, count)| *count);
        let (mut shortest_run, mut shorter_runs, mut rest) = (0.0, 0.0, 0.0);
        for (index, &(bound, count)) in self.buckets.iter().enumerate() {
            let runs = count - known(index);
            let pause =
                (shortest_run * f64::from(task.rest_factor)).min(task.max_rest.as_secs_f64());
            rest += (runs - shorter_runs) * pause;
            (shortest_run, shorter_runs) = (bound, runs);
        }
        rest
    }
}

/// A node, its peer in another zone, and the store.
struct Fleet {
    peer: Reader,
    node: Instance,
}

impl Fleet {
    /// Starts the fleet, and waits until the node plans orders.
    async fn start() -> Self {
        let key = "01".repeat(32);
        // The first node in the order of the ids gives orders; the nodes of a zone poll its engines.
        let mut names = ["node-1", "node-2"];
        names.sort_by_key(|name| identity::id(name));
        let store = Store::start().await;
        store.put_manifest(&manifest(1, "/safe/"));
        for number in 0..ENDPOINTS {
            store.put_registration(&endpoint(number), &registration(number));
        }
        let peer = Reader::start(names[1], "b", &key).await;
        let node = Instance::start(names[0], &key, &[peer.link.addr()], store.addr);
        let fleet = Self { peer, node };
        let started = Instant::now();
        while !fleet.plans().await {
            assert!(
                started.elapsed() < START_TIMEOUT,
                "the node plans no orders"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        fleet
    }

    /// Returns whether the node has planned orders.
    async fn plans(&self) -> bool {
        let metrics = self.metrics().await;
        metrics.is_some_and(|text| Runs::parse(&text, "plan").count() > 0.0)
    }

    /// Returns the node's metrics, or `None` if it does not respond.
    async fn metrics(&self) -> Option<String> {
        self.node.page("/metrics").await
    }

    /// Publishes observations of the peer from now on, each in a message of its own.
    fn publish_observations(&self) {
        let (link, to) = (self.peer.link.clone(), self.node.peers);
        let origin = identity::id(&self.peer.name);
        tokio::spawn(async move {
            let mut interval = tokio::time::interval(PUBLICATION_INTERVAL);
            for version in 1.. {
                interval.tick().await;
                let body = Observation::Endpoint {
                    name: format!("{}@7", endpoint(version as usize % 10)),
                    ejected: version / 10 % 2 == 0,
                    ttl: Duration::from_secs(2),
                };
                let item = Item {
                    origin,
                    incarnation: 1,
                    version,
                    body,
                };
                let message = Message {
                    from: origin,
                    incarnation: 1,
                    head: None,
                    updates: Vec::new(),
                    body: Body::Items(vec![item]),
                };
                // A message that is dropped at a full queue is followed by others.
                let _ = link.send(to, message);
            }
        });
    }
}

fn endpoint(number: usize) -> String {
    format!("i-{number:05}")
}

/// Returns the row of an engine in the peer's zone, at an address where nothing listens.
fn registration(number: usize) -> String {
    let port = 1 + number % 1000;
    format!(
        r#"{{"service":"model","address":"127.0.0.1:{port}","zone":"b","version":"v1","slots":10,"state":"ready","sequence":1,"born":7,"kind":"card","layers":{{"from":0,"to":0}}}}"#
    )
}

// Guards against a node that plans orders in each step, or builds a view of all endpoints after each
// input: on a small processor, control has no time left for a new catalog.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn control_pauses_after_each_plan_and_view() {
    let fleet = Fleet::start().await;
    fleet.publish_observations();
    let started = Instant::now();
    let before = fleet.metrics().await.expect("metrics");
    tokio::time::sleep(MEASUREMENT_TIME).await;
    let after = fleet.metrics().await.expect("metrics");
    let elapsed = started.elapsed().as_secs_f64();
    for task in TASKS {
        let name = task.name;
        let (before, after) = (Runs::parse(&before, name), Runs::parse(&after, name));
        let (count, time) = (after.count() - before.count(), after.time - before.time);
        let rest = after.least_rest(&before, &task);
        let measured = format!(
            "{name}: {count} runs of {time:.2} s, pauses of at least {rest:.2} s, in {elapsed:.2} s"
        );
        println!("{measured}");
        assert!(count > 1.0, "{measured}");
        // The pause after the last run may not have ended.
        assert!(
            time + rest <= elapsed + task.max_rest.as_secs_f64(),
            "{measured}"
        );
    }
}
