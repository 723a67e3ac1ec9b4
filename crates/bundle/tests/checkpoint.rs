//! Who writes checkpoints: many nodes with one policy, each with its own seed and start.

mod common;

use bundle::checkpoint::{Policy, Settings};
use bundle::fold::Fold;
use bundle::sign;
use common::{mira, signers, text};
use std::time::Duration;

const NODES: usize = 370;
const RETENTION: u64 = 3_600;
/// Seconds from an append until other nodes have read it.
const DELAY: u64 = 1;

/// A log with when each record was appended, and the nodes that read it.
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

    /// First retained offset.
    fn first(&self, now: u64) -> usize {
        self.log.partition_point(|r| r.0 + RETENTION < now)
    }

    /// One second: nodes read what is old enough, then may write. Appends made; while the log
    /// is out, reads and appends fail.
    fn step(&mut self, now: u64, up: bool) -> usize {
        let first = self.first(now);
        let known = self.log.partition_point(|r| r.0 + DELAY <= now);
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

/// Hundreds of nodes could write a checkpoint; about one does, each time. Were there one from
/// every node, each would be read by every node: hundreds of megabytes for nothing.
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
    // Four retentions have 8 to 16 rounds; the window lets about 0.4 further nodes write in each.
    assert!((8..=32).contains(&written), "{written}");
    assert!(oldest <= RETENTION / 2 + 60, "{oldest}");
}

/// All nodes are replaced again and again, so none has seen the last checkpoint being written.
/// Its stamp tells its age; otherwise each generation would either write at once, or put it off
/// until retention has dropped the last one.
#[test]
fn restarts_neither_flood_nor_forget() {
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

/// On an ordinary day nodes are replaced all the time, and a new one starts from a peer's head,
/// beyond the checkpoints in the log. It must not write one because it hasn't seen any, or the
/// log would carry a full bundle for each restart.
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

/// The log goes out just when a checkpoint is due, for half of the retention. When it is back
/// there is still one to start from, and a new one is written soon, by few of the many nodes
/// that are overdue.
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
        "something is left to start from"
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
