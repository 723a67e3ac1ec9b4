//! Time from the append of a version until it is in force on every one of 8 running nodes.
//!
//! `cargo run --release -p wigeonctl --example in_force`
//!
//! Three cases: the log is up; each of its calls takes 300 ms longer; it is out, comes back until
//! the first node has the version, and is out again, so that the others have it from peers only
//! (in the last case the time runs from that first node). All nodes run in one process.

use bundle::history::History;
use rig::fleet::Fleet;
use rig::plan::Plan;
use standin::fault::Mode;
use std::time::{Duration, Instant};

const NODES: usize = 8;
/// Versions published in each case.
const VERSIONS: usize = 10;
/// Longest wait for one version.
const VERSION_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two looks.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// How much longer a call of the slow log takes.
const SLOW_LOG_DELAY: Duration = Duration::from_millis(300);
/// Time for nodes to notice that the log is out, or that it is back.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// What the log does.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Case {
    Up,
    Slow,
    OutAfterAccept,
}

/// Number in force on a node.
async fn version_in_force(fleet: &Fleet, index: usize) -> u64 {
    let status = rig::caller::status(fleet.node(index).admin).await;
    status.map_or(0, |s| s.number)
}

/// Waits until `least` nodes have `number` in force.
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

/// Nodes that have the version from a peer: their history names no offset for it.
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

/// Publishes a version and measures.
async fn run(fleet: &mut Fleet, case: Case, version: u64, peers: &mut usize) -> Option<Duration> {
    let text = fleet.text() + &format!("[zone spare-{version}]\nregion = spare\n");
    if case != Case::OutAfterAccept {
        let published = fleet.publish(&text).await;
        published.ok()?;
        return wait_until_in_force(fleet, version, NODES).await;
    }
    // Signed and appended past the outage, so that no node has read it yet.
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

/// The next version's record; the fleet remembers it as published.
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
