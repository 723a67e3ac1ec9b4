//! Soak of at-most-once requests in which the nodes and the endpoints are processes.
//!
//! Nodes and endpoints are paused, killed, terminated and restarted at their addresses while requests
//! run, and single nodes are cut off from all endpoints. Callers keep their connections and return by the
//! platform's rules: under another id after a promise, or if a connection was closed without their request
//! having been read. The row of an endpoint's run before stays for a while after a restart. In runs with
//! faulty endpoints these also lose, double and falsify responses, refuse requests in series, send refusals
//! again in the place of a later response, and respond without a length.
//! Checked are, from the endpoints' own files:
//!
//! - a request runs at most once, by its id;
//! - a request does not run if its caller got 408, 421, 429 or 503;
//! - a thing runs at most once, under whichever ids;
//! - a success has the whole body.
//!
//! `ONCE_SEEDS=100..150 cargo test --release -p wigeonshelf --test once -- --nocapture` runs other seeds.
//! `ONCE_NODES` sets the number of nodes, `NODE_LOGS` the folder for their lines.

#[path = "once/caller.rs"]
mod caller;
#[path = "once/endpoint.rs"]
mod endpoint;
#[path = "once/fleet.rs"]
mod fleet;
#[path = "soak/node.rs"]
mod node;
#[path = "support/process.rs"]
mod process;
#[path = "soak/proxy.rs"]
mod proxy;
#[path = "once/record.rs"]
mod record;
#[path = "support/seeds.rs"]
mod seeds;
#[path = "once/shape.rs"]
mod shape;
#[path = "../../../platform/standin/mod.rs"]
mod standin;

use caller::Things;
use fleet::Fleet;
use record::Record;
use shape::Shape;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Default seeds, also run in CI.
const SEEDS: [u64; 2] = [1, 2];
const CALLERS: u64 = 24;
/// Steps of a run; a fault may begin or end in each of them.
const STEPS: usize = 60;
const STEP_INTERVAL: Duration = Duration::from_millis(150);
/// Time after the last fault in which requests that were held up may still run.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Time within which a fleet without faults must serve at all nodes.
const SERVE_TIMEOUT: Duration = Duration::from_secs(30);

async fn soak(seed: u64, faulty: bool) -> Record {
    let shape = Shape::of_seed(seed);
    let folder = std::env::temp_dir().join(format!("once-{}-{seed}-{faulty}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let mut fleet = Fleet::start(seed, shape, faulty, &folder).await;
    let things = Things::default();
    wait_until_serving(&fleet, seed).await;
    let stop = CancellationToken::new();
    let callers = (0..CALLERS).map(|number| {
        let (things, stop) = (things.clone(), stop.clone());
        tokio::spawn(caller::run(
            seed,
            number,
            shape.time_limit,
            fleet.addrs(),
            things,
            stop,
        ))
    });
    let callers: Vec<_> = callers.collect();
    for _ in 0..STEPS {
        tokio::time::sleep(STEP_INTERVAL).await;
        fleet.step();
    }
    fleet.end_faults();
    stop.cancel();
    futures::future::join_all(callers).await;
    tokio::time::sleep(SETTLE_TIME).await;
    let runs: Vec<String> = fleet.endpoints.iter().flat_map(|e| e.runs()).collect();
    let record = Record::new(&things.lock().unwrap(), &runs);
    record.print(&format!(
        "seed {seed}, {}, faulty endpoints {faulty}, {} runs",
        shape.name,
        runs.len()
    ));
    drop(fleet);
    std::fs::remove_dir_all(&folder).unwrap();
    record
}

/// Waits until every node serves.
async fn wait_until_serving(fleet: &Fleet, seed: u64) {
    let begin = Instant::now();
    for node in fleet.addrs() {
        let mut poll = 0;
        while !serves(node, &format!("w{seed}-{node}-{poll}")).await {
            assert!(begin.elapsed() < SERVE_TIMEOUT, "{node} does not serve");
            poll += 1;
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

async fn serves(node: SocketAddr, id: &str) -> bool {
    use standin::requester::{Attempt, End, send};
    let deadline = Instant::now() + Duration::from_secs(1);
    let attempt = Attempt {
        id,
        path: "/once/x",
        deadline,
    };
    let end = send(&mut None, node, &attempt).await;
    matches!(end, End::Response { status: 200, .. })
}

fn assert_clean(faulty: bool) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    let seeds = seeds::given("ONCE_SEEDS", &SEEDS);
    let records = seeds
        .into_iter()
        .map(|seed| (seed, runtime.block_on(soak(seed, faulty))));
    let wrong = records.filter(|(_, record)| !record.is_clean() || !record.has_served());
    let wrong: Vec<u64> = wrong.map(|(seed, _)| seed).collect();
    assert!(wrong.is_empty(), "seeds with violations: {wrong:?}");
}

// Guards against requests that run twice, or though they were refused, while processes are paused, killed
// and restarted, and single nodes are cut off.
#[test]
fn at_most_once_holds_under_faults_of_processes() {
    assert_clean(false);
}

// Guards against the same while endpoints lose, double and falsify responses.
#[test]
fn at_most_once_holds_under_false_responses() {
    assert_clean(true);
}

// The process of an endpoint, which the soak starts.
#[test]
#[ignore = "run by the soak as a process"]
fn endpoint_process() {
    let Some(settings) = standin::process::Settings::from_env() else {
        return;
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(standin::process::serve(settings));
}
