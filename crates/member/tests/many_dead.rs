//! Nodes that start after the death of many others.

#[path = "support/net.rs"]
mod net;
#[path = "support/offers.rs"]
mod offers;

use net::ms;
use offers::{MAX_OFFERED_TIME, OBSERVED_TIME, ZONES, offered_time, settled_net};
use std::time::Duration;

const NODES: usize = 195;

/// Kills `gone` and seven other nodes at once. The seven start again 8 s later. Returns for how long any node
/// then offers one of `gone`, and the last one that does.
fn start_after_deaths(seed: u64, gone: &[usize]) -> (Duration, usize) {
    let mut net = settled_net(NODES, seed);
    let started: Vec<usize> = (0..NODES)
        .rev()
        .filter(|n| !gone.contains(n))
        .take(7)
        .collect();
    gone.iter().chain(&started).for_each(|of| net.kill(*of));
    net.run(net.now + ms(8000));
    started.iter().for_each(|of| net.start(*of));
    offered_time(&mut net, gone, OBSERVED_TIME)
}

/// Panics if one of `gone` is offered for too long after the starts.
fn check(seeds: impl IntoIterator<Item = u64>, gone: &[usize]) {
    let mut late = Vec::new();
    for seed in seeds {
        let (time, by) = start_after_deaths(seed, gone);
        println!("seed {seed}: offered for {time:?}, last by {by}");
        late.extend((time > MAX_OFFERED_TIME).then_some((seed, time, by)));
    }
    assert!(late.is_empty(), "{late:#?}");
}

// Guards against dead nodes that are offered because most of their zone died, so that they count as parted.
#[test]
fn a_node_that_starts_after_most_of_a_zone_died_offers_no_dead_one() {
    let gone: Vec<usize> = (0..NODES).step_by(ZONES).take(22).collect();
    check(1200..1204, &gone);
}

// Guards against dead nodes that are offered because most of the group died.
#[test]
fn a_node_that_starts_after_most_of_the_group_died_offers_no_dead_one() {
    let gone: Vec<usize> = (0..110).collect();
    check(1200..1220, &gone);
}
