//! Many nodes that reroute their requests around one dead stage at the same time.
//!
//! An endpoint dies with 250 requests of 84 nodes in flight. Five other endpoints hold its layers,
//! one of them on a fast accelerator. The new stages prefill all tokens of the requests again. The
//! numbers of requests, nodes and tokens and the kinds of accelerators are those of a large
//! deployment in the second after a crash.

mod support;

use catalog::Endpoint;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use steer::chain::Need;
use steer::health::Outcome;
use steer::{Fleet, Selector};
use support::{
    ALLOWANCE, TYPICAL_SIZE, catalog_with, endpoint, fleet, large_engine, load, prefill_factor,
    selector, tokens,
};

const NODES: usize = 84;
/// Requests that each node has in flight at the endpoint.
const REQUESTS_PER_NODE: usize = 3;
/// Layers of the dead stage, out of eight.
const LOST_LAYERS: u32 = 2;
/// Number of requests that an endpoint has capacity for.
const CAPACITY_REQUESTS: usize = 400;
/// Maximum ratio of the longest prefill time of an endpoint to the time of an even distribution. It
/// exceeds 1 because a node only simulates what the other nodes do.
const MAX_IMBALANCE: f64 = 1.35;

/// A chain of four stages.
fn chain() -> Vec<Endpoint> {
    let one = |n: u8| {
        let from = u32::from(n) * LOST_LAYERS;
        endpoint(n, "a", "slow", from, from + LOST_LAYERS)
    };
    (0..4).map(one).collect()
}

/// Further endpoints that hold the layers of the second stage.
fn holders() -> Vec<Endpoint> {
    let kind = |n| if n == 10 { "fast" } else { "slow" };
    (10..15)
        .map(|n| endpoint(n, "a", kind(n), LOST_LAYERS, 2 * LOST_LAYERS))
        .collect()
}

// Every node replaces the dead stage in its requests by the same reports of the other holders. If
// all nodes took the cheapest one, it would prefill their tokens one request after the other, and
// callers would leave before their answers continue.
#[test]
fn rerouted_requests_are_spread_over_all_holders_of_the_layers() {
    let base = Fleet {
        catalog: catalog_with(large_engine(LOST_LAYERS, CAPACITY_REQUESTS)),
        ..fleet(chain(), NODES)
    };
    let need = Need {
        size: TYPICAL_SIZE,
        urgent: false,
    };
    let mut nodes: Vec<Selector> = (0..NODES as u64)
        .map(|n| Selector::new(n, ALLOWANCE))
        .collect();
    let mut targets = Vec::new();
    for (number, node) in nodes.iter_mut().enumerate() {
        node.update_fleet(Duration::ZERO, base.clone());
        for _ in 0..REQUESTS_PER_NODE {
            targets.push((number, node.select(Duration::ZERO, 0, &need, &[]).unwrap()));
        }
    }
    let now = Duration::from_millis(500);
    let held = (NODES * REQUESTS_PER_NODE) as f64 * tokens() * f64::from(LOST_LAYERS);
    let loads = chain().into_iter().map(|e| (e.run.to_string(), held));
    let loads = loads.chain(holders().into_iter().map(|e| (e.run.to_string(), 0.0)));
    let loads: BTreeMap<_, _> = loads
        .map(|(run, used)| (run, load(1, used, 0, Duration::from_millis(200))))
        .collect();
    let view = Fleet {
        endpoints: Arc::new([chain(), holders()].concat()),
        loads: Arc::new(loads),
        ..base
    };
    let dead = chain()[1].addr;
    let mut reads: BTreeMap<String, f64> = BTreeMap::new();
    for (number, target) in &targets {
        let node = &mut nodes[*number];
        node.update_fleet(now, view.clone());
        node.report_failed(now, dead);
        let stages = node.reroute(now, target, 0, &need, dead).unwrap();
        for stage in stages.iter().filter(|s| s.addr != dead) {
            let Some(holder) = holders().into_iter().find(|e| e.run == stage.run) else {
                continue;
            };
            let prefill = prefill_factor(holder.accelerator.as_deref().unwrap());
            let work = prefill * f64::from(stage.span.len()) / f64::from(LOST_LAYERS);
            *reads.entry(holder.run.id).or_default() += work;
        }
    }
    let rate: f64 = holders()
        .iter()
        .map(|e| 1.0 / prefill_factor(e.accelerator.as_deref().unwrap()))
        .sum();
    let even = (NODES * REQUESTS_PER_NODE) as f64 / rate;
    let longest = reads.values().copied().fold(0.0, f64::max);
    assert!(
        longest < even * MAX_IMBALANCE,
        "even {even:.0}: {reads:.0?}"
    );
}

// The faster of two holders of the lost layers is in another zone: all tokens so far would cross
// the link between the zones and back, one request after the other. The slower holder in the same
// zone delays its callers less.
#[test]
fn a_stage_is_replaced_in_the_zone_of_its_neighbors() {
    let rows = vec![
        endpoint(1, "a", "fast", 0, 3),
        endpoint(2, "a", "fast", 3, 6),
        endpoint(3, "a", "fast", 6, 8),
        endpoint(4, "b", "fast", 3, 6),
        endpoint(5, "a", "slow", 3, 6),
    ];
    let need = support::need(200);
    for last in [true, false] {
        let mut rows = rows.clone();
        // The lost stage is the last one of its chain, or an inner one.
        if last {
            rows.remove(2);
            rows.iter_mut()
                .filter(|e| e.span.from == 3)
                .for_each(|e| e.span.to = 8);
        }
        let mut selector = selector(rows);
        let target = selector.select(Duration::ZERO, 0, &need, &[]).unwrap();
        let dead = target.stages[1].addr;
        assert_eq!(target.stages[1].run.id, "e2");
        selector.report_failed(Duration::ZERO, dead);
        let stages = selector.reroute(Duration::ZERO, &target, 0, &need, dead);
        assert_eq!(stages.unwrap()[1].run.id, "e5", "last stage: {last}");
    }
}

// Guards against a leak of reserved capacity: if the head refuses a reroute, the new stages must
// not stay reserved beside the old ones.
#[test]
fn a_reroute_that_the_head_refuses_reserves_nothing() {
    let mut rows = chain();
    rows.extend(holders());
    let mut selector = selector(rows);
    let need = Need {
        size: TYPICAL_SIZE,
        urgent: false,
    };
    let fleet = Fleet {
        catalog: catalog_with(large_engine(LOST_LAYERS, CAPACITY_REQUESTS)),
        ..fleet(chain().into_iter().chain(holders()).collect(), 1)
    };
    selector.update_fleet(Duration::ZERO, fleet);
    let target = selector.select(Duration::ZERO, 0, &need, &[]).unwrap();
    let reserved = |selector: &Selector| -> Vec<(u32, f64)> {
        selector
            .rows()
            .iter()
            .map(|r| (r.in_flight, r.reserved))
            .collect()
    };
    let before = reserved(&selector);
    for _ in 0..10 {
        let faulty_stage = target.stages[1].addr;
        selector
            .reroute(Duration::ZERO, &target, 0, &need, faulty_stage)
            .unwrap();
        assert_ne!(reserved(&selector), before);
        selector.revert_reroute(&target, &need);
        assert_eq!(reserved(&selector), before);
    }
    selector.end(Duration::ZERO, target.reservation, Outcome::Success, None);
    assert!(
        selector
            .rows()
            .iter()
            .all(|r| r.in_flight == 0 && r.reserved == 0.0)
    );
}
