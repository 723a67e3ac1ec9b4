//! Attempts sent per request while a third of the endpoints is gone, beside a naive retry that
//! tries again at once and without a budget; and the time to recover.

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
use world::{Brain, Fault, World};

const NODES: usize = 8;
const LOST: Duration = Duration::from_secs(6);
const BACK: Duration = Duration::from_secs(16);
const END: Duration = Duration::from_secs(24);

/// Part of the bound of all endpoints that is offered.
fn run<B: Brain>(name: &str, load: f64, dark: bool, brain: impl Fn(u64) -> B) {
    let bundle = fixture::fleet(4, 24, 10);
    let bound = route::plan::max_throughput(&bundle, 0) * 32.0 / 33.0;
    let mut world = World::new(bundle, NODES, 3, brain);
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
    if dark {
        hosts
            .iter()
            .for_each(|&h| world.fault(LOST, Fault::Mute(h)));
    } else {
        world.fault(LOST, Fault::Lose(0));
    }
    world.fault(BACK, Fault::Regain(0));
    world.run(END + Duration::from_secs(10));
    print(name, load, dark, &world);
}

fn print<B: Brain>(name: &str, load: f64, dark: bool, world: &World<B>) {
    let start = Duration::from_secs(1);
    let during = world.calls.values().filter(|c| {
        let (at, end) = (c.arrived, c.ended.unwrap_or(Duration::MAX));
        end >= LOST + start && at <= BACK + start
    });
    let (mut calls, mut sent, mut whole, mut unknown, mut refused) = (0_u32, 0, 0, 0, 0);
    let mut most = 0;
    let mut stall = Duration::ZERO;
    for call in during {
        calls += 1;
        sent += call.sent;
        most = most.max(call.sent);
        match call.outcome {
            Some(Outcome::Complete) => whole += 1,
            Some(Outcome::NotRun) => refused += 1,
            _ => unknown += 1,
        }
        let hit = call.first.is_some_and(|f| f < LOST + start) && call.sent > 1;
        if hit && call.outcome == Some(Outcome::Complete) {
            stall = stall.max(call.gap);
        }
    }
    let how = if dark { "dark" } else { "dead" };
    println!(
        "{name:12} {how:>5} {load:>5.2} {calls:>6} {:>9.2} {most:>5} {whole:>6} {refused:>8} {unknown:>8} {:>8.2}",
        f64::from(sent) / f64::from(calls.max(1)),
        stall.as_secs_f64()
    );
    assert_eq!(world.faults(), Vec::<String>::new());
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
        for dark in [false, true] {
            run("wigeonshelf", load, dark, |seed| {
                Router::new(seed, Settings::default())
            });
            run("naive", load, dark, |seed| Baseline::new(Policy::Two, seed));
        }
    }
}
