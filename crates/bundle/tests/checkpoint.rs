//! Tests of the checkpoint policy with many nodes, each with its own seed.

mod common;

use bundle::checkpoint::{Policy, Settings};
use bundle::fold::Fold;
use bundle::sign;
use common::{mira, signers, text};
use std::time::Duration;

const NODES: usize = 370;
const RETENTION: u64 = 3_600;
/// Delay from an append until nodes can read it, in seconds.
const READ_DELAY: u64 = 1;

/// A log whose records have the time of their append, and the nodes that read it.
struct Fleet {
    log: Vec<(u64, Vec<u8>)>,
    nodes: Vec<(Fold, Policy)>,
    seeds: u64,
}

impl Fleet {
    fn new(nodes: usize) -> Self {
        let first = sign::sign_text(None, text(), "mira", &mira()).unwrap();
        let mut fleet = Self {
            log: vec![(0, first)],
            nodes: Vec::new(),
            seeds: 0,
        };
        fleet.nodes = (0..nodes).map(|_| fleet.node()).collect();
        fleet
    }

    fn node(&mut self) -> (Fold, Policy) {
        self.seeds += 1;
        let retention = Duration::from_secs(RETENTION);
        let policy = Policy::new(
            Settings {
                retention,
                max_versions: 4_096,
            },
            self.seeds,
        );
        (Fold::new(signers()), policy)
    }

    /// Returns the first retained offset.
    fn first(&self, now: u64) -> usize {
        self.log.partition_point(|r| r.0 + RETENTION < now)
    }

    /// Simulates one second: nodes read the records that are visible, then may write checkpoints.
    /// While the log is not `up`, reads and appends fail. Returns the number of appended records.
    fn step(&mut self, now: u64, up: bool) -> usize {
        let first = self.first(now);
        let known = self.log.partition_point(|r| r.0 + READ_DELAY <= now);
        let mut written = Vec::new();
        for (fold, policy) in &mut self.nodes {
            let from = (fold.next_offset() as usize).max(first);
            let page = (from..known).map(|i| (i as u64, self.log[i].1.as_slice()));
            if up {
                fold.apply_page(first as u64, page);
            }
            let wall = Duration::from_secs(now);
            if policy.poll(wall, wall, first as u64, fold) {
                written.extend(fold.checkpoint(wall));
            }
        }
        if !up {
            return 0;
        }
        let count = written.len();
        self.log.extend(written.into_iter().map(|body| (now, body)));
        count
    }
}

/// Hundreds of nodes are able to write a checkpoint; in each round about one does. If every node
/// wrote one, every node would read all of them: hundreds of megabytes of redundant data.
#[test]
fn about_one_node_writes() {
    let mut fleet = Fleet::new(NODES);
    let mut written = 0;
    let mut oldest = 0;
    for now in 1..4 * RETENTION {
        written += fleet.step(now, true);
        let last = fleet
            .log
            .iter()
            .rev()
            .find(|r| r.0 < now)
            .map_or(0, |r| r.0);
        oldest = oldest.max(now - last);
    }
    println!("{NODES} nodes, 4 h of retention 1 h: {written} written, oldest {oldest} s");
    // Four retention periods have 8 to 16 rounds, each with about 0.4 redundant checkpoints.
    assert!((8..=32).contains(&written), "{written}");
    assert!(oldest <= RETENTION / 2 + 60, "{oldest}");
}

/// All nodes are replaced repeatedly, so none was running when the last checkpoint was written.
/// They take its age from its timestamp; otherwise each generation would either write one at once,
/// or postpone it until retention has dropped the last one.
#[test]
fn restarts_write_neither_too_many_nor_too_few() {
    let mut fleet = Fleet::new(8);
    let mut written = 0;
    for now in 1..6 * RETENTION {
        if now % (RETENTION / 10) == 0 {
            fleet.nodes = (0..8).map(|_| fleet.node()).collect();
        }
        written += fleet.step(now, true);
        if now % (RETENTION / 10) == RETENTION / 20 {
            assert!(
                fleet.nodes.iter().all(|n| n.0.head().is_some()),
                "lost at {now}"
            );
        }
    }
    assert!((12..=40).contains(&written), "{written}");
}

/// Nodes are replaced continuously in normal operation, and a new node starts from a peer's head,
/// past the checkpoints in the log. The node must not write a checkpoint just because it hasn't
/// read one, or the log would contain a full bundle for each restart.
#[test]
fn restarts_from_peers_write_none() {
    let mut fleet = Fleet::new(8);
    let mut written = 0;
    for now in 1..6 * RETENTION {
        if now > RETENTION && now % 120 == 0 {
            let old = now as usize / 120 % 8;
            let head = fleet.nodes[(old + 1) % 8].0.encode_head().unwrap();
            fleet.nodes[old] = fleet.node();
            fleet.nodes[old].0.adopt(&head);
        }
        written += fleet.step(now, true);
    }
    assert!((12..=40).contains(&written), "{written}");
    assert!(fleet.nodes.iter().all(|n| !n.0.in_gap()));
}

/// The log becomes unavailable when a checkpoint is due, for half of the retention period. After
/// the outage there is still a checkpoint to start from, and a new one is written soon, by few of
/// the many nodes whose checkpoint is overdue.
#[test]
fn outages_of_the_log_are_survived() {
    let mut fleet = Fleet::new(NODES);
    let mut now = 0;
    let last = |fleet: &Fleet| fleet.log.last().map_or(0, |r| r.0);
    while now < RETENTION || now - last(&fleet) < RETENTION / 4 {
        now += 1;
        fleet.step(now, true);
    }
    for _ in 0..RETENTION / 2 {
        now += 1;
        fleet.step(now, false);
    }
    assert!(
        fleet.first(now) < fleet.log.len(),
        "no record is left to start from"
    );
    let mut written = 0;
    for _ in 0..120 {
        now += 1;
        written += fleet.step(now, true);
    }
    println!("{NODES} nodes, back from an outage of half the retention: {written} written");
    assert!((1..=20).contains(&written), "{written}");
    fleet.nodes = vec![fleet.node()];
    fleet.step(now + RETENTION - 200, true);
    assert_eq!(fleet.nodes[0].0.head().map(|b| b.number), Some(1));
}
