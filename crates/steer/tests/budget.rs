//! Retries stay within their share of the requests, over all nodes and in any window.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;
use steer::budget::{Allowance, Budget, Purpose};

const ALLOWANCE: Allowance = Allowance {
    ratio: 0.2,
    slack: 40.0,
    window: Duration::from_secs(10),
};
const NODES: usize = 4;

// After the loss of a zone, every request fails at first. If each node retried every request, the
// remaining endpoints would receive twice the load. Whatever the nodes attempt, the limit must hold
// in each window.
#[test]
fn no_window_exceeds_the_allowed_retries() {
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut budgets = vec![Budget::default(); NODES];
        let mut requests: Vec<Duration> = Vec::new();
        let mut retries: Vec<Duration> = Vec::new();
        let mut now = Duration::ZERO;
        while now < Duration::from_secs(40) {
            now += Duration::from_micros(rng.random_range(1..20_000));
            let node = rng.random_range(0..NODES);
            budgets[node].record_request(now, &ALLOWANCE);
            requests.push(now);
            if budgets[node].try_retry(now, &ALLOWANCE, NODES, Purpose::Resumption) {
                retries.push(now);
            }
        }
        for &start in &retries {
            let inside = |t: &&Duration| **t >= start && **t < start + ALLOWANCE.window;
            let repeats = retries.iter().filter(inside).count() as f64;
            let firsts = requests.iter().filter(inside).count() as f64;
            let bound = ALLOWANCE.ratio * firsts + ALLOWANCE.slack;
            assert!(repeats <= bound, "seed {seed}: {repeats} over {bound}");
        }
        assert!(retries.len() > 50, "seed {seed}: {} granted", retries.len());
    }
}

#[test]
fn the_budget_is_replenished_over_time() {
    let mut budget = Budget::default();
    let mut granted = 0;
    // A node knows the other nodes after its first window; before that it takes fewer retries.
    while budget.try_retry(Duration::from_secs(20), &ALLOWANCE, 1, Purpose::Resumption) {
        granted += 1;
    }
    // Four fifths of the fixed part; the rest is reserved for nodes that restart.
    assert_eq!(granted, 32);
    assert!(!budget.try_retry(Duration::from_secs(29), &ALLOWANCE, 1, Purpose::Resumption));
    assert!(budget.try_retry(Duration::from_secs(32), &ALLOWANCE, 1, Purpose::Resumption));
}

// All nodes restart at the same time. None of them knows another one yet, so each would take the
// whole fixed part of the budget while every request fails at first.
#[test]
fn nodes_that_start_together_do_not_each_take_the_whole_budget() {
    let mut granted = 0;
    for _ in 0..10 {
        let mut budget = Budget::default();
        while budget.try_retry(Duration::from_secs(1), &ALLOWANCE, 1, Purpose::Resumption) {
            granted += 1;
        }
    }
    assert!(f64::from(granted) <= ALLOWANCE.slack, "{granted} granted");
}

/// Nodes, total requests per second and fixed part of the budget of three deployments.
const DEPLOYMENTS: [(usize, usize, f64); 3] = [(8, 75, 200.0), (67, 235, 318.0), (195, 530, 574.0)];

// Stages die and all nodes use up their retries. Then all nodes restart, and know neither each
// other nor the retries that they used before. The retries must stay within the allowance in any
// window, including the one across the restart.
#[test]
fn nodes_that_restart_after_using_their_budget_stay_within_it() {
    for (nodes, rate, slack) in DEPLOYMENTS {
        let allowance = Allowance { slack, ..ALLOWANCE };
        // The window ends one second after the restart.
        let before = allowance.window - Duration::from_secs(1);
        let old = count_retries(
            &allowance,
            nodes,
            nodes,
            rate,
            Duration::from_secs(20),
            before,
        );
        let young = count_retries(
            &allowance,
            nodes,
            1,
            rate,
            Duration::ZERO,
            Duration::from_secs(1),
        );
        let firsts = rate as f64 * allowance.window.as_secs_f64();
        let bound = allowance.ratio * firsts + slack;
        let spent = old + young;
        assert!(
            spent as f64 <= bound,
            "{nodes} nodes: {old} and {young} of {bound}"
        );
    }
}

/// Returns the number of retries that `nodes` nodes, each of which knows of `known` nodes, take
/// from `start` on for `time` at a total of `rate` requests per second.
fn count_retries(
    allowance: &Allowance,
    nodes: usize,
    known: usize,
    rate: usize,
    start: Duration,
    time: Duration,
) -> usize {
    let mut budgets = vec![Budget::default(); nodes];
    let step = Duration::from_secs(1) / rate as u32;
    let mut spent = 0;
    for number in 0..rate * time.as_secs() as usize {
        let now = start + step * number as u32;
        let budget = &mut budgets[number % nodes];
        budget.record_request(now, allowance);
        while budget.try_retry(now, allowance, known, Purpose::Resumption) {
            spent += 1;
        }
    }
    spent
}

// Guards against responses in progress that are cut off because requests that no endpoint has
// answered yet took every retry. Both kinds together stay within the limit of the node.
#[test]
fn retries_are_left_for_responses_in_progress() {
    let now = Duration::from_secs(20);
    let mut budget = Budget::default();
    let mut count = |purpose| {
        (0..100)
            .filter(|_| budget.try_retry(now, &ALLOWANCE, 1, purpose))
            .count()
    };
    assert_eq!(
        (count(Purpose::Answer), count(Purpose::Resumption)),
        (28, 4)
    );
}

// Guards against a small share of the allowance that is left unused.
#[test]
fn a_node_with_room_for_one_retry_takes_it_for_a_request() {
    let now = Duration::from_secs(20);
    let mut budget = Budget::default();
    let allowance = Allowance {
        slack: 1.25,
        ..ALLOWANCE
    };
    assert!(budget.try_retry(now, &allowance, 1, Purpose::Answer));
    assert!(!budget.try_retry(now, &allowance, 1, Purpose::Resumption));
}
