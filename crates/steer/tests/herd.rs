//! Many nodes that choose by the same late reports.
//!
//! The pattern: 84 nodes, each with few requests a second, before 24 endpoints of two kinds; every
//! second all learn how full these are. Grounds for the figures: the nodes, the share of fast
//! endpoints and the age of reports are those of a grown deployment of the users.

mod support;

use catalog::Endpoint;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use steer::budget::Allowance;
use steer::health::Outcome;
use steer::load::Load;
use steer::target::Target;
use steer::{Fleet, Steer};
use support::{endpoint, fleet, need};

const NODES: usize = 84;
const ENDPOINTS: u8 = 24;
/// Time between two reports, in steps of 10 ms.
const REPORT: usize = 100;
/// Steps of the whole run: 20 s.
const STEPS: usize = 2000;
/// Requests that start in a step; each lasts 1 s, so 96 of the 240 places are taken on average.
const STARTS: usize = 1;
const LASTS: usize = 96;

/// What happened.
#[derive(Debug, Default)]
struct Outcomes {
    /// Requests sent to an endpoint that had no room left.
    over: usize,
    sent: usize,
    refused: usize,
}

/// One endpoint holds all layers and has room for 10 requests of 25 tokens.
fn endpoints() -> Vec<Endpoint> {
    let kind = |n| if n % 4 == 0 { "fast" } else { "slow" };
    let zone = |n| ["a", "b", "c"][usize::from(n % 3)];
    (0..ENDPOINTS)
        .map(|n| endpoint(n, zone(n), kind(n), 0, 8))
        .collect()
}

/// `told` is the number of nodes that each believes there are, on which the chance depends.
fn run(told: usize) -> Outcomes {
    let allowance = Allowance {
        ratio: 0.2,
        slack: 100.0,
        window: Duration::from_secs(10),
    };
    let base = fleet(endpoints(), told);
    let mut nodes: Vec<Steer> = (0..NODES)
        .map(|n| Steer::new(n as u64, allowance))
        .collect();
    let mut taken: BTreeMap<String, usize> = BTreeMap::new();
    let mut running: VecDeque<(usize, usize, Target)> = VecDeque::new();
    let mut outcomes = Outcomes::default();
    for step in 0..STEPS {
        let now = Duration::from_millis(10 * step as u64);
        if step % REPORT == 0 {
            let view = reports(&base, &taken, step);
            nodes.iter_mut().for_each(|n| n.follow(now, view.clone()));
        }
        while running.front().is_some_and(|(end, ..)| *end <= step) {
            let (_, node, target) = running.pop_front().unwrap();
            nodes[node].end(now, target.hold, Outcome::Good, None);
            *taken.get_mut(&target.head().run.to_string()).unwrap() -= 1;
        }
        for start in 0..STARTS {
            let node = (step * 31 + start * 17) % NODES;
            match nodes[node].target(now, 0, &need(25), &[]) {
                Err(_) => outcomes.refused += 1,
                Ok(target) => {
                    let count = taken.entry(target.head().run.to_string()).or_default();
                    *count += 1;
                    outcomes.over += usize::from(*count > 10);
                    outcomes.sent += 1;
                    running.push_back((step + LASTS, node, target));
                }
            }
        }
    }
    outcomes
}

fn reports(base: &Fleet, taken: &BTreeMap<String, usize>, step: usize) -> Fleet {
    let load = |run: String| {
        let used = taken.get(&run).copied().unwrap_or(0) as f64 * 25.0 * 8.0;
        let load = Load {
            stamp: step as u64,
            used,
            pace: 1.0,
            age: Duration::from_millis(200),
        };
        (run, load)
    };
    let runs = base.endpoints.iter().map(|e| e.run.to_string());
    Fleet {
        loads: Arc::new(runs.map(load).collect()),
        ..base.clone()
    }
}

// Callers of a calm day are refused while most endpoints are empty: all nodes read the same report,
// take the cheapest endpoint, and fill it ten times over before the next report. With chance in
// the prices, which grows with the number of nodes, far fewer requests meet a full endpoint. The
// baseline is the same load without it: each node believes to be alone.
#[test]
fn nodes_do_not_all_choose_the_same_endpoint() {
    let (alone, many) = (run(1), run(NODES));
    println!("without chance {alone:?}, with it {many:?}");
    assert_eq!((alone.refused, many.refused), (0, 0));
    assert!(many.over * 4 < alone.over * 3, "{alone:?} {many:?}");
}
