//! Measures the recovery from faults at half load with 8 routers: the longest pause of answers in
//! flight, and the first token of requests that arrive in the second after the fault.

#[path = "../tests/support/fixture.rs"]
mod fixture;
#[path = "../tests/support/host.rs"]
mod host;
#[path = "../tests/support/world.rs"]
mod world;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use route::outcome::Outcome;
use route::request::Request;
use route::router::Router;
use route::settings::Settings;
use std::time::Duration;
use world::{Call, Fault, World};

const NODES: usize = 8;
const FAULT_AT: Duration = Duration::from_secs(6);
const END: Duration = Duration::from_secs(12);
const SEEDS: u64 = 5;

fn run(seed: u64, faults: &[Fault]) -> World<Router> {
    let bundle = fixture::fleet(4, 24, 10);
    let bound = route::plan::max_throughput(&bundle, 0) * 64.0 / 65.0;
    let mut world = World::new(bundle, NODES, seed, |s| Router::new(s, Settings::default()));
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let per_second = bound * 0.5 / 64.0;
    for i in 0..(per_second * END.as_secs_f64()) as u64 {
        let at = Duration::from_secs_f64(i as f64 / per_second);
        let base = fixture::request(i.into(), at + Duration::from_secs(20));
        let request = Request {
            max_tokens: 64,
            prompt_tokens: 16,
            ..base
        };
        world.arrive(at, rng.random_range(0..NODES), request);
    }
    faults.iter().for_each(|&f| world.fault(FAULT_AT, f));
    world.run(END + Duration::from_secs(20));
    assert_eq!(world.all_violations(), Vec::<String>::new());
    world
}

fn at(sorted: &[f64], part: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    sorted
        .get(((sorted.len() as f64 * part) as usize).min(last))
        .copied()
        .unwrap_or(0.0)
}

fn main() {
    println!(
        "pauses (ms) of answers that were moved, and the first token of requests that came in"
    );
    println!("the second after the fault; {SEEDS} seeds");
    println!(
        "{:22} {:>6} {:>8} {:>8} {:>10} {:>10} {:>7}",
        "fault", "moved", "p50", "most", "token p50", "token p99", "broken"
    );
    let faults: [(&str, Vec<Fault>); 6] = [
        ("none", vec![]),
        ("stage dies", vec![Fault::Die(1)]),
        ("stage goes dark", vec![Fault::Unresponsive(1)]),
        ("connections go silent", vec![Fault::SilenceConnections(1)]),
        ("stage 30 times slower", vec![Fault::Slow(1, 30.0)]),
        ("zone dies", vec![Fault::LoseZone(0)]),
    ];
    for (name, faults) in faults {
        let worlds: Vec<_> = (0..SEEDS).map(|seed| run(seed, &faults)).collect();
        let calls = || worlds.iter().flat_map(|w| w.calls.values());
        let fault = FAULT_AT + Duration::from_secs(1);
        let over = |c: &&Call| c.first_token.is_some_and(|f| f < fault) && c.ended > Some(fault);
        let sorted = |mut all: Vec<f64>| {
            all.sort_by(f64::total_cmp);
            all
        };
        let moved = calls().filter(over).filter(|c| c.sent_attempts > 1);
        let pauses = sorted(moved.map(|c| c.max_gap.as_secs_f64() * 1e3).collect());
        let new =
            calls().filter(|c| c.arrived >= fault && c.arrived < fault + Duration::from_secs(1));
        let firsts = new.filter_map(|c| Some((c.first_token? - c.arrived).as_secs_f64() * 1e3));
        let firsts = sorted(firsts.collect());
        let broken = calls()
            .filter(|c| c.outcome != Some(Outcome::Complete))
            .count();
        println!(
            "{name:22} {:>6} {:>8.0} {:>8.0} {:>10.0} {:>10.0} {broken:>7}",
            pauses.len(),
            at(&pauses, 0.5),
            at(&pauses, 1.0),
            at(&firsts, 0.5),
            at(&firsts, 0.99)
        );
    }
}
