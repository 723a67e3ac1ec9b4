//! Overshoot of team limits at 8 and 370 nodes under faults of nodes and of the network.
//!
//! Runs on a simulated network. Every node is taken to use its share in full, so the figures are the
//! worst that callers can cause.

#[path = "../tests/support/fleet.rs"]
mod fleet;
#[path = "../tests/support/net.rs"]
mod net;

use fleet::{Fleet, Policy};
use member::settings::Settings;
use net::{Faults, NO_FAULTS, Net, ms, run_and_print};
use std::time::Duration;

const SECOND: Duration = ms(1000);
/// Nodes, availability zones and teams.
const SIZES: [(usize, usize, usize); 2] = [(8, 3, 10), (370, 18, 5)];

/// Fault that is injected in a run.
#[derive(Clone, Copy, Debug)]
enum Case {
    Quiet,
    Parted,
    Restarted,
    Paused,
    Lossy,
    Late,
    Killed,
}

fn run(size: (usize, usize, usize), case: Case, policy: Policy) -> String {
    let (nodes, zones, teams) = size;
    let mut net = Net::new(nodes, zones, 11, Settings::default());
    let mut fleet = Fleet::new(nodes, teams, 21, policy);
    fleet.run(&mut net, SECOND * 40);
    fleet.clear_samples();
    let start = net.now;
    let region = if nodes == 8 { "z1" } else { "r1" };
    let steps = if nodes > 100 { 3 } else { 6 };
    for step in 0..steps {
        fleet.change_demand();
        match (case, step) {
            (Case::Parted, 1) => net.partition(1, |i| i.zone == region || i.region == region),
            (Case::Parted, 2) => net.heal(),
            (Case::Restarted, _) => {
                let restarted: Vec<usize> = (0..nodes).filter(|i| i % 8 == step as usize).collect();
                for index in restarted {
                    net.kill(index);
                    net.start(index);
                    fleet.restart(index);
                }
            }
            (Case::Paused, _) => {
                let paused: Vec<usize> = (0..nodes).filter(|i| i % 8 == step as usize).collect();
                paused.into_iter().for_each(|i| net.pause(i, SECOND * 5));
            }
            (Case::Lossy, _) => {
                net.faults = Faults {
                    loss_ratio: 0.01,
                    ..NO_FAULTS
                }
            }
            (Case::Late, _) => {
                net.faults = Faults {
                    loss_ratio: 0.3,
                    duplicate_ratio: 0.0,
                    max_delay: ms(250),
                }
            }
            (Case::Killed, 1) => (0..nodes / 8).for_each(|i| net.kill(i * 8)),
            _ => net.faults = NO_FAULTS,
        }
        let to = start + SECOND * 30 * (step + 1);
        fleet.run(&mut net, to);
    }
    let summary = fleet.summary();
    format!(
        "| {nodes} | {policy:?} | {case:?} | {:.1}% | {:.2}% | {:.1}% | {:.1}% |",
        summary.max_overshoot * 100.0,
        summary.time_above * 100.0,
        summary.mean_sum * 100.0,
        summary.served * 100.0,
    )
}

type Job = Box<dyn FnOnce() -> String + Send>;

fn main() {
    println!("Sum of the shares of all nodes against the limit; demand moves every 30 s\n");
    println!(
        "| nodes | way | case | worst overshoot | time above the limit | mean sum of shares | served of what could be |"
    );
    println!("|---|---|---|---|---|---|---|");
    use Case::*;
    let mut jobs: Vec<Job> = Vec::new();
    for size in SIZES {
        for case in [Quiet, Parted, Restarted, Paused, Lossy, Late, Killed] {
            jobs.push(Box::new(move || run(size, case, Policy::Window)));
        }
        for way in [Policy::Equal, Policy::Now] {
            jobs.push(Box::new(move || run(size, Quiet, way)));
        }
    }
    run_and_print(jobs);
}
