//! Which nodes a node offers to callers, on a simulated network.
#![allow(dead_code)]

use crate::net::{Net, ms};
use member::Now;
use member::settings::Settings;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

pub const SECOND: Duration = ms(1000);
/// Longest time for which any node may offer a failed one to callers.
pub const MAX_OFFERED_TIME: Duration = ms(2500);
/// Time for which the nodes are observed after a death.
pub const OBSERVED_TIME: Duration = ms(12_000);
/// Availability zones.
pub const ZONES: usize = 5;

/// Returns a network whose nodes have joined and run for 20 s.
pub fn settled_net(nodes: usize, seed: u64) -> Net {
    let mut net = Net::new(nodes, ZONES, seed, Settings::default());
    net.run(SECOND * 20);
    assert!(net.all_up(), "{nodes} nodes join, seed {seed}");
    net
}

/// Returns whether node `by` offers node `of` to callers.
pub fn offers(net: &Net, by: usize, of: usize) -> bool {
    let group = net.group(by);
    group.is_some_and(|g| g.roster().get(net.id(of)).is_some_and(|p| p.accepts_work()))
}

/// Runs for `time`. Returns the time after which no node offered any of `gone`, and the last one that did.
pub fn offered_time(net: &mut Net, gone: &[usize], time: Duration) -> (Duration, usize) {
    let from = net.now;
    let mut last = (Now::ZERO, 0);
    net.run_with(from + time, |net, by| {
        if gone.iter().any(|of| offers(net, by, *of)) {
            last = (net.now - from, by);
        }
    });
    last
}

/// Returns the indexes of `count` random nodes.
pub fn draw(random: &mut ChaCha8Rng, nodes: usize, count: usize) -> Vec<usize> {
    let mut all: Vec<usize> = (0..nodes).collect();
    all.shuffle(random);
    all.truncate(count);
    all
}
