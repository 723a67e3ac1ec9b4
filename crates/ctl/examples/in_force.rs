//! Measures the time from the append of a version until it is in force on all of 8 running nodes.
//!
//! `cargo run --release -p wigeonctl --example in_force`
//!
//! There are three cases: the log is up; each call to the log takes 300 ms longer; or the log is
//! down, comes back until the first node has the version in force, and goes down again, so that the
//! other nodes can get the version only from peers. In the last case the time is measured from the
//! moment at which the first node has the version. All nodes run in one process.

use bundle::history::History;
use rig::fleet::Fleet;
use rig::plan::Plan;
use standin::fault::Mode;
use std::time::{Duration, Instant};

const NODES: usize = 8;
/// Versions published in each case.
const VERSIONS: usize = 10;
/// Longest wait for one version to come into force.
const VERSION_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two rounds of status requests to all nodes.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Delay of each call to the slow log.
const SLOW_LOG_DELAY: Duration = Duration::from_millis(300);
/// Time for nodes to notice that the log went down or came back.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Behavior of the log while a version is published.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Case {
    Up,
    Slow,
    OutAfterAccept,
}

/// Returns the number of the version in force on a node; 0 if the node doesn't answer.
async fn version_in_force(fleet: &Fleet, index: usize) -> u64 {
    let status = rig::caller::status(fleet.node(index).admin).await;
    status.map_or(0, |s| s.number)
}

/// Waits until at least `min_nodes` nodes have version `wanted` or a later one in force. Returns
/// the time that it took; `None` after [`VERSION_TIMEOUT`].
async fn wait_until_in_force(fleet: &Fleet, wanted: u64, min_nodes: usize) -> Option<Duration> {
    let start = Instant::now();
    while start.elapsed() < VERSION_TIMEOUT {
        let requests = (0..NODES).map(|i| version_in_force(fleet, i));
        let numbers = futures::future::join_all(requests).await;
        if numbers.iter().filter(|n| **n >= wanted).count() >= min_nodes {
            return Some(start.elapsed());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    None
}

/// Counts the nodes that got the version from a peer: their history has no log offset for it.
async fn count_from_peers(fleet: &Fleet, version: u64) -> usize {
    let requests = (0..NODES).map(|i| {
        let admin = fleet.node(i).admin;
        rig::caller::get::<History>(admin, "/admin/v1/history")
    });
    let histories = futures::future::join_all(requests).await;
    let last_version = |h: &History| h.versions.last().cloned();
    let entries = histories.iter().flatten().filter_map(last_version);
    entries
        .filter(|v| v.number == version && v.offset.is_none())
        .count()
}

/// Publishes a version and measures the time until it is in force on all nodes.
async fn run(fleet: &mut Fleet, case: Case, version: u64, peers: &mut usize) -> Option<Duration> {
    let text = fleet.text() + &format!("[zone spare-{version}]\nregion = spare\n");
    if case != Case::OutAfterAccept {
        let published = fleet.publish(&text).await;
        published.ok()?;
        return wait_until_in_force(fleet, version, NODES).await;
    }
    // The record is appended to the log directly while its service is down, so that no node can
    // have read it before the log comes back.
    fleet.log.faults.set_mode(Mode::Down);
    tokio::time::sleep(SETTLE_TIME).await;
    let record = sign(fleet, &text)?;
    fleet.log.append("bundles", record.into());
    fleet.log.faults.set_mode(Mode::Up);
    wait_until_in_force(fleet, version, 1).await?;
    fleet.log.faults.set_mode(Mode::Down);
    let took = wait_until_in_force(fleet, version, NODES).await;
    *peers += count_from_peers(fleet, version).await;
    fleet.log.faults.set_mode(Mode::Up);
    tokio::time::sleep(SETTLE_TIME).await;
    took
}

/// Signs the next version and returns its record; records it in `fleet` as published.
fn sign(fleet: &mut Fleet, text: &str) -> Option<Vec<u8>> {
    let key = bundle::sign::key_from_seed(rig::plan::SIGNER_SEED);
    let parent = fleet.bundle.take();
    let record = bundle::sign::sign_text(parent.as_ref(), text, rig::plan::SIGNER, &key).ok()?;
    let mut child: bundle::Bundle = text.parse().ok()?;
    child.number = parent.map_or(1, |b| b.number + 1);
    fleet.bundle = Some(child);
    Some(record)
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let plan = Plan {
        nodes: NODES,
        ..Plan::default()
    };
    let mut fleet = Fleet::start(plan).await?;
    let mut version = 1;
    println!(
        "case | versions | in force everywhere | median ms | longest ms | nodes that had it from a peer"
    );
    for case in [Case::Up, Case::Slow, Case::OutAfterAccept] {
        let delay = if case == Case::Slow {
            SLOW_LOG_DELAY
        } else {
            Duration::ZERO
        };
        fleet.log.faults.set_delay(delay);
        tokio::time::sleep(SETTLE_TIME).await;
        let mut times = Vec::new();
        let mut peers = 0;
        for _ in 0..VERSIONS {
            version += 1;
            times.extend(run(&mut fleet, case, version, &mut peers).await);
        }
        times.sort_unstable();
        let median = times.get(times.len() / 2).copied().unwrap_or_default();
        let longest = times.last().copied().unwrap_or_default();
        println!(
            "{case:?} | {VERSIONS} | {} | {:.0} | {:.0} | {:.1}",
            times.len(),
            median.as_secs_f64() * 1e3,
            longest.as_secs_f64() * 1e3,
            peers as f64 / VERSIONS as f64
        );
    }
    std::process::exit(0);
}
