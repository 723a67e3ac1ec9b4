//! Chains run every layer once and in order, within the capacity of endpoints.

mod support;

use catalog::Endpoint;
use catalog::endpoint::State;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;
use std::sync::Arc;
use steer::chain::MAX_FILL;
use steer::health::Outcome;
use steer::shortage::Shortage;
use steer::target::Target;
use steer::{Fleet, Selector};
use support::{ALLOWANCE, LAYERS, endpoint, fleet, load, ms, need, selector};

const MODEL: u32 = 0;

/// Fails unless the stages run every layer once and in order, each on a different endpoint.
fn assert_complete(target: &Target) {
    let mut next = 0;
    let mut seen = BTreeSet::new();
    for stage in &target.stages {
        assert_eq!(stage.span.from, next, "{target:?}");
        assert!(stage.span.to > stage.span.from, "{target:?}");
        assert!(seen.insert(stage.run.clone()), "{target:?}");
        next = stage.span.to;
    }
    assert_eq!(next, LAYERS, "{target:?}");
}

#[test]
fn a_chain_runs_every_layer_once_and_in_order() {
    let rows = vec![
        endpoint(1, "a", "fast", 0, 5),
        endpoint(2, "a", "fast", 3, 6),
        endpoint(3, "a", "fast", 5, 8),
    ];
    let target = selector(rows)
        .select(ms(0), MODEL, &need(100), &[])
        .unwrap();
    assert_complete(&target);
}

#[test]
fn shortages_are_distinguished() {
    let gap = vec![
        endpoint(1, "a", "fast", 0, 5),
        endpoint(2, "a", "fast", 6, 8),
    ];
    let short = |selector: &mut steer::Selector, tokens| {
        selector
            .select(ms(0), MODEL, &need(tokens), &[])
            .unwrap_err()
    };
    assert_eq!(short(&mut selector(gap), 100), Shortage::Layers);
    assert_eq!(short(&mut selector(Vec::new()), 100), Shortage::Endpoints);
    // 8 layers leave 2 GB, which hold 2,000 token-layers: 250 tokens.
    let mut full = selector(vec![endpoint(1, "a", "fast", 0, 8)]);
    full.select(ms(0), MODEL, &need(200), &[]).unwrap();
    assert_eq!(short(&mut full, 200), Shortage::Capacity);
    assert_eq!(short(&mut full, 5000), Shortage::Size);
}

#[test]
fn ended_attempts_release_their_capacity() {
    let mut selector = selector(vec![endpoint(1, "a", "fast", 0, 8)]);
    for _ in 0..10 {
        let target = selector.select(ms(0), MODEL, &need(200), &[]).unwrap();
        selector.end(ms(1), target.reservation, Outcome::Success, None);
    }
    assert_eq!(selector.in_flight(), 0);
    assert!(
        selector
            .rows()
            .iter()
            .all(|r| r.reserved == 0.0 && r.in_flight == 0)
    );
}

// Activations between availability zones share one link. Chains that cross zones without need fill
// it, and every answer that crosses it is delayed.
#[test]
fn a_chain_stays_in_one_zone_if_possible() {
    let rows = vec![
        endpoint(1, "a", "fast", 0, 4),
        endpoint(2, "a", "slow", 4, 8),
        endpoint(3, "b", "slow", 0, 4),
        endpoint(4, "b", "fast", 4, 8),
    ];
    let mut selector = selector(rows);
    for _ in 0..20 {
        let target = selector.select(ms(0), MODEL, &need(20), &[]).unwrap();
        let zones: BTreeSet<_> = target
            .stages
            .iter()
            .map(|s| s.addr.ip().to_string())
            .collect();
        let a = zones.contains("10.0.0.1") && zones.contains("10.0.0.2");
        let b = zones.contains("10.0.0.3") && zones.contains("10.0.0.4");
        assert!(a || b, "{target:?}");
        selector.end(ms(0), target.reservation, Outcome::Unknown, None);
    }
}

// Only a chain over both zones remains. Callers get it until the link is used up, and then an
// immediate refusal: one more request on a full link would delay all of them.
#[test]
fn a_link_is_not_filled_beyond_its_capacity() {
    let rows = vec![
        endpoint(1, "a", "fast", 0, 4),
        endpoint(2, "b", "fast", 4, 8),
    ];
    let mut selector = selector(rows);
    let mut sent = 0;
    let refused = loop {
        match selector.select(ms(0), MODEL, &need(1000), &[]) {
            Ok(target) => selector.end(ms(0), target.reservation, Outcome::Unknown, None),
            Err(shortage) => break shortage,
        }
        sent += 1;
        assert!(sent < 1000, "the pipe has no bound");
    };
    // 1,000 tokens of 10 kB are 80 Mbit; the link carries 1 Gbit/s, and two seconds are counted.
    assert_eq!((refused, sent), (Shortage::Capacity, 19));
    assert!(selector.select(ms(4000), MODEL, &need(1000), &[]).is_ok());
}

// While an answer that crosses zones is idle, the node checks repeatedly whether another chain
// could take over. If the checks counted as traffic, they would fill the link, and further callers
// would be refused although nothing crosses it.
#[test]
fn checking_for_a_chain_reserves_nothing() {
    let rows = vec![
        endpoint(1, "a", "fast", 0, 4),
        endpoint(2, "b", "fast", 4, 8),
    ];
    let mut selector = selector(rows);
    for _ in 0..100 {
        assert_eq!(selector.can_select(ms(0), MODEL, &need(1000), &[]), Ok(()));
    }
    assert_eq!(selector.in_flight(), 0);
    let target = selector.select(ms(0), MODEL, &need(1000), &[]);
    assert!(target.is_ok(), "{target:?}");
}

#[test]
fn draining_reported_and_failed_endpoints_are_not_selected() {
    let mut leaving = endpoint(1, "a", "fast", 0, 8);
    leaving.state = State::Draining;
    let mut selector = selector(vec![leaving, endpoint(2, "a", "slow", 0, 8)]);
    let target = selector.select(ms(0), MODEL, &need(50), &[]).unwrap();
    assert_eq!(target.head().run.id, "e2");
    selector.end(ms(0), target.reservation, Outcome::Failed, None);
    let short = selector.select(ms(1), MODEL, &need(50), &[]);
    assert_eq!(short.unwrap_err(), Shortage::Endpoints);
    assert!(selector.select(ms(400), MODEL, &need(50), &[]).is_ok());
    let mut fleet = fleet(vec![endpoint(2, "a", "slow", 0, 8)], 3);
    fleet.reported_failed = std::sync::Arc::new(BTreeSet::from(["e2@1".to_owned()]));
    selector.update_fleet(ms(500), fleet);
    assert!(selector.select(ms(500), MODEL, &need(50), &[]).is_err());
}

// An answer stalls because a stage died. The other stages keep its state in memory, so only the
// dead stage is replaced. The head stays, since it holds the request.
#[test]
fn a_reroute_replaces_only_the_dead_stage() {
    let rows = vec![
        endpoint(1, "a", "fast", 0, 3),
        endpoint(2, "a", "fast", 3, 6),
        endpoint(3, "a", "fast", 6, 8),
        endpoint(4, "b", "fast", 2, 5),
        endpoint(5, "b", "fast", 5, 7),
    ];
    let mut selector = selector(rows);
    let mut target = selector.select(ms(0), MODEL, &need(50), &[]).unwrap();
    let dead = target.stages[1].addr;
    selector.report_failed(ms(1), dead);
    target.stages = selector
        .reroute(ms(1), &target, MODEL, &need(50), dead)
        .unwrap();
    assert_complete(&target);
    assert!(target.stages.iter().all(|s| s.addr != dead));
    assert_eq!(target.head().run.id, "e1");
    // Neither the head nor a stage whose layers no other endpoint holds can be replaced.
    let head = target.head().addr;
    assert!(
        selector
            .reroute(ms(1), &target, MODEL, &need(50), head)
            .is_err()
    );
    let last = target.stages.last().unwrap().addr;
    assert!(
        selector
            .reroute(ms(1), &target, MODEL, &need(50), last)
            .is_err()
    );
    selector.end(ms(2), target.reservation, Outcome::Success, None);
    assert!(
        selector.rows().iter().all(|r| r.reserved == 0.0),
        "{selector}"
    );
}

#[test]
fn random_fleets_yield_complete_chains_or_a_shortage() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = rng.random_range(1..20);
        let rows: Vec<_> = (0..count)
            .map(|number| {
                let from = rng.random_range(0..LAYERS);
                let to = rng.random_range(from + 1..=LAYERS);
                let zone = if rng.random() { "a" } else { "b" };
                let kind = if rng.random() { "fast" } else { "slow" };
                endpoint(number, zone, kind, from, to)
            })
            .collect();
        let complete = (0..LAYERS).all(|l| rows.iter().any(|r| r.span.contains(l)));
        let mut selector = selector(rows);
        let mut reservations = Vec::new();
        for _ in 0..50 {
            match selector.select(ms(0), MODEL, &need(rng.random_range(2..400)), &[]) {
                Ok(target) => {
                    assert_complete(&target);
                    reservations.push(target.reservation);
                }
                Err(shortage) => assert_eq!(shortage == Shortage::Layers, !complete),
            }
        }
        assert!(
            selector
                .rows()
                .iter()
                .all(|r| r.reserved <= r.capacity * MAX_FILL),
            "seed {seed}\n{selector}"
        );
        for reservation in reservations {
            selector.end(ms(1), reservation, Outcome::Success, None);
        }
        assert!(
            selector.rows().iter().all(|r| r.reserved == 0.0),
            "seed {seed}\n{selector}"
        );
    }
}

#[test]
fn scarcity_reports_the_scarcest_layer() {
    let rows = vec![
        endpoint(1, "a", "fast", 0, 4),
        endpoint(2, "a", "fast", 4, 8),
        endpoint(3, "a", "slow", 4, 6),
    ];
    let mut selector = selector(rows);
    // 4 layers leave 6 GB, which hold 6,000 token-layers: half of them are taken here.
    selector.select(ms(0), MODEL, &need(750), &[]).unwrap();
    let scarcity = selector.scarcity(ms(0), MODEL);
    assert_eq!((scarcity.known, scarcity.available), (3, 3));
    assert_eq!((scarcity.layer, scarcity.free), (Some(0), 0.5));
    selector.report_failed(ms(0), ([10, 0, 0, 2], 80).into());
    let scarcity = selector.scarcity(ms(0), MODEL);
    assert_eq!(
        (scarcity.available, scarcity.layer, scarcity.free),
        (2, Some(6), 0.0)
    );
}

// Guards against callers that wait for their first event at a fast endpoint with free memory: it
// begins a limited number of chains at once, and further requests queue. Its report shows the
// queue, so other endpoints become heads; as a later stage the endpoint is used as before.
#[test]
fn a_head_with_a_queue_is_avoided() {
    let fast = endpoint(0, "a", "fast", 0, 4);
    let slow = endpoint(1, "a", "slow", 0, 4);
    let rest = endpoint(2, "a", "fast", 4, 8);
    let begin = |queued: u32| {
        let report = |e: &Endpoint, queued| (e.run.to_string(), load(1, 0.0, queued, ms(200)));
        let loads = [report(&fast, queued), report(&rest, 50)];
        let mut selector = Selector::new(1, ALLOWANCE);
        let fleet = Fleet {
            loads: Arc::new(loads.into_iter().collect()),
            ..fleet(vec![fast.clone(), slow.clone(), rest.clone()], 1)
        };
        selector.update_fleet(ms(0), fleet);
        let target = selector.select(ms(10), 0, &need(200), &[]).unwrap();
        target.stages[0].run.clone()
    };
    assert_eq!(begin(0), fast.run);
    assert_eq!(begin(50), slow.run);
}

// An endpoint refuses a request for lack of memory although its last report, one second old, shows
// that a third is free. The refusal is newer than the report, so the next request avoids the
// endpoint; otherwise it would be refused as well and cost a retry.
#[test]
fn a_refusal_for_lack_of_memory_overrides_an_older_report() {
    let (fast, slow) = (
        endpoint(0, "a", "fast", 0, 8),
        endpoint(1, "a", "slow", 0, 8),
    );
    let capacity = f64::from(LAYERS) * 250.0;
    let report = load(1, capacity * 0.66, 0, ms(1000));
    let mut selector = Selector::new(1, ALLOWANCE);
    let fleet = Fleet {
        loads: Arc::new([(fast.run.to_string(), report)].into()),
        ..fleet(vec![fast.clone(), slow.clone()], 1)
    };
    selector.update_fleet(ms(1000), fleet);
    let first = selector.select(ms(1000), MODEL, &need(80), &[]).unwrap();
    assert_eq!(first.head().run, fast.run);
    selector.end(
        ms(1000),
        first.reservation,
        Outcome::Missing,
        Some(fast.addr),
    );
    // The endpoint counts as full and not as failed.
    assert_eq!(selector.rows()[0].health.failures(), 0);
    let next = selector.select(ms(1130), MODEL, &need(200), &[]).unwrap();
    assert_eq!(next.head().run, slow.run);
}

// Guards against refusals for lack of capacity by recently started nodes. If the assumed number of
// nodes that select by the same reports were taken for nodes with requests in flight, seven nodes
// that all restart would refuse 162 callers within a second.
#[test]
fn assumed_nodes_occupy_no_capacity() {
    let row = endpoint(1, "a", "fast", 0, 8);
    let mut selector = Selector::new(1, ALLOWANCE);
    let view = Fleet {
        selecting_nodes: 100,
        ..fleet(vec![row], 1)
    };
    selector.update_fleet(ms(0), view);
    for at in 0..10 {
        selector.record_request(ms(at), "model");
        let found = selector.select(ms(at), MODEL, &need(20), &[]);
        assert!(found.is_ok(), "request {at}: {found:?}");
    }
}
