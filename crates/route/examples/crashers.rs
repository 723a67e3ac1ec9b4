//! Measures the endpoints lost per request that crashes the endpoints running it, compared with
//! naive retries. Its caller sends it again five times, each time to a random node.

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
use world::{Handler, World};

const NODES: usize = 8;
const END: Duration = Duration::from_secs(60);
const CRASHERS: u64 = 6;

fn run<B: Handler>(name: &str, load: f64, handler: impl Fn(u64) -> B) {
    let bundle = fixture::fleet(4, 24, 10);
    let bound = route::plan::max_throughput(&bundle, 0) * 32.0 / 33.0;
    let mut world = World::new(bundle, NODES, 3, handler);
    world.restart_delay = Duration::from_secs(5);
    let mut rng = ChaCha8Rng::seed_from_u64(9);
    let per_second = bound * load / 32.0;
    for i in 0..(per_second * END.as_secs_f64()) as u64 {
        let at = Duration::from_secs_f64(i as f64 / per_second);
        let base = fixture::request(i.into(), at + Duration::from_secs(20));
        let request = Request {
            max_tokens: 32,
            prompt_tokens: 16,
            ..base
        };
        world.arrive(at, rng.random_range(0..NODES), request);
    }
    for crasher in 0..CRASHERS {
        for again in 0..6 {
            let at = Duration::from_secs(3 + crasher * 8 + again * 3);
            let id = 1_000_000 + u128::from(crasher * 10 + again);
            let base = fixture::request(id, at + Duration::from_secs(20));
            let request = Request {
                fingerprint: crasher + 7,
                prompt_tokens: 16,
                ..base
            };
            world.crashers.push(crasher + 7);
            world.arrive(at, rng.random_range(0..NODES), request);
        }
    }
    world.run(END + Duration::from_secs(20));
    print(name, load, &world);
}

fn print<B: Handler>(name: &str, load: f64, world: &World<B>) {
    let innocent: Vec<_> = world
        .calls
        .values()
        .filter(|c| c.request.id < 1_000_000)
        .collect();
    let hit = innocent.iter().filter(|c| c.sent_attempts > 1).count();
    let failed = innocent
        .iter()
        .filter(|c| c.outcome != Some(Outcome::Complete))
        .count();
    let stall = innocent
        .iter()
        .filter(|c| c.sent_attempts > 1)
        .map(|c| c.max_gap)
        .max();
    let lost = world.crashes as f64 / CRASHERS as f64;
    println!(
        "{name:12} {load:>5.2} {lost:>14.2} {:>8} {hit:>10} {failed:>7} {:>8.2}",
        innocent.len(),
        stall.unwrap_or_default().as_secs_f64()
    );
    assert_eq!(world.all_violations(), Vec::<String>::new());
}

fn main() {
    println!("{CRASHERS} crashing requests, each sent 6 times; 24 endpoints, 8 routers");
    println!(
        "{:12} {:>5} {:>14} {:>8} {:>10} {:>7} {:>8}",
        "", "load", "lost/request", "others", "disturbed", "failed", "stall s"
    );
    for load in [0.3, 0.7] {
        run("wigeonshelf", load, |seed| {
            Router::new(seed, Settings::default())
        });
        run("naive", load, |seed| Baseline::new(Policy::TwoRandom, seed));
    }
}
