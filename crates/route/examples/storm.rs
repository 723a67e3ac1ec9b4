//! Measures attempts per request while a third of the endpoints is lost, compared with naive
//! retries (immediate and without a budget), and the time to recover.

#[path = "../tests/support/baseline.rs"]
mod baseline;
#[path = "../tests/support/fixture.rs"]
mod fixture;
#[path = "../tests/support/host.rs"]
mod host;
#[path = "../tests/support/world.rs"]
mod world;

use baseline::{Baseline, Policy};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use route::outcome::Outcome;
use route::request::Request;
use route::router::Router;
use route::settings::Settings;
use std::time::Duration;
use world::{Fault, Handler, World};

const NODES: usize = 8;
const LOST_AT: Duration = Duration::from_secs(6);
const RESTORED_AT: Duration = Duration::from_secs(16);
const END: Duration = Duration::from_secs(24);

/// Runs a load relative to the maximum throughput of all endpoints.
fn run<B: Handler>(name: &str, load: f64, unresponsive: bool, handler: impl Fn(u64) -> B) {
    let bundle = fixture::fleet(4, 24, 10);
    let bound = route::plan::max_throughput(&bundle, 0) * 32.0 / 33.0;
    let mut world = World::new(bundle, NODES, 3, handler);
    let mut rng = ChaCha8Rng::seed_from_u64(9);
    let per_second = bound * load / 32.0;
    let count = (per_second * END.as_secs_f64()) as u64;
    for i in 0..count {
        let at = Duration::from_secs_f64(i as f64 / per_second);
        let deadline = at + Duration::from_secs(8);
        let base = fixture::request(i.into(), deadline);
        let team = rng.random_range(0..10);
        let request = Request {
            team,
            max_tokens: 32,
            prompt_tokens: 16,
            ..base
        };
        world.arrive(at, rng.random_range(0..NODES), request);
    }
    let hosts: Vec<usize> = (0..world.hosts.len())
        .filter(|&h| world.hosts[h].zone == 0)
        .collect();
    if unresponsive {
        hosts
            .iter()
            .for_each(|&h| world.fault(LOST_AT, Fault::Unresponsive(h)));
    } else {
        world.fault(LOST_AT, Fault::LoseZone(0));
    }
    world.fault(RESTORED_AT, Fault::RestartZone(0));
    world.run(END + Duration::from_secs(10));
    print(name, load, unresponsive, &world);
}

fn print<B: Handler>(name: &str, load: f64, unresponsive: bool, world: &World<B>) {
    let start = Duration::from_secs(1);
    let during = world.calls.values().filter(|c| {
        let (at, end) = (c.arrived, c.ended.unwrap_or(Duration::MAX));
        end >= LOST_AT + start && at <= RESTORED_AT + start
    });
    let (mut calls, mut sent, mut complete, mut unknown, mut refused) = (0_u32, 0, 0, 0, 0);
    let mut most = 0;
    let mut stall = Duration::ZERO;
    for call in during {
        calls += 1;
        sent += call.sent_attempts;
        most = most.max(call.sent_attempts);
        match call.outcome {
            Some(Outcome::Complete) => complete += 1,
            Some(Outcome::NotRun) => refused += 1,
            _ => unknown += 1,
        }
        let hit = call.first_token.is_some_and(|f| f < LOST_AT + start) && call.sent_attempts > 1;
        if hit && call.outcome == Some(Outcome::Complete) {
            stall = stall.max(call.max_gap);
        }
    }
    let how = if unresponsive { "dark" } else { "dead" };
    println!(
        "{name:12} {how:>5} {load:>5.2} {calls:>6} {:>9.2} {most:>5} {complete:>6} {refused:>8} {unknown:>8} {:>8.2}",
        f64::from(sent) / f64::from(calls.max(1)),
        stall.as_secs_f64()
    );
    assert_eq!(world.all_violations(), Vec::<String>::new());
}

fn main() {
    println!(
        "a zone of three is lost for 10 s; 8 routers; dead: connections break, dark: nothing answers"
    );
    println!(
        "{:12} {:>5} {:>5} {:>6} {:>9} {:>5} {:>6} {:>8} {:>8} {:>8}",
        "", "how", "load", "calls", "sent/call", "most", "whole", "refused", "unknown", "stall s"
    );
    for load in [0.5, 0.9] {
        for unresponsive in [false, true] {
            run("wigeonshelf", load, unresponsive, |seed| {
                Router::new(seed, Settings::default())
            });
            run("naive", load, unresponsive, |seed| {
                Baseline::new(Policy::TwoRandom, seed)
            });
        }
    }
}
