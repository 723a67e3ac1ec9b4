//! Measures throughput relative to the maximum of the hardware for mixes of endpoints and links.
//! Runs 1, 3 and 8 routers with load reports that are 500 ms old, compared with three baselines. An
//! argument restricts the run to the mix of that name.

#[path = "../tests/support/baseline.rs"]
mod baseline;
#[path = "../tests/support/fixture.rs"]
mod fixture;
#[path = "../tests/support/host.rs"]
mod host;
#[path = "../tests/support/world.rs"]
mod world;

use baseline::{Baseline, Policy};
use bundle::Bundle;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use route::request::Request;
use route::router::Router;
use route::settings::Settings;
use std::time::Duration;
use world::{Fault, Handler, World};

const SLOTS: u32 = 24;
const WARM: Duration = Duration::from_secs(10);
const END: Duration = Duration::from_secs(20);
/// Offered load relative to the maximum throughput; above 1, so that requests always wait.
const OFFERED: f64 = 1.25;

/// Mix of a fleet and a load, with its maximum throughput in generated tokens per second.
struct Mix {
    name: &'static str,
    bundle: Bundle,
    lost: Option<usize>,
    bound: f64,
    menus: u64,
    prompt: u32,
    most: u32,
}

fn mix(name: &'static str, bundle: Bundle) -> Mix {
    let bound = route::plan::max_throughput(&bundle, 0);
    let mix = Mix {
        name,
        bundle,
        lost: None,
        bound,
        menus: 0,
        prompt: 16,
        most: 32,
    };
    Mix {
        bound: generated(bound, mix.most, mix.prompt),
        ..mix
    }
}

/// Returns the tokens generated per second if each request also computes `prompt` tokens that no
/// cache holds.
fn generated(bound: f64, most: u32, prompt: u32) -> f64 {
    let work = f64::from(most) + f64::from(prompt) / host::PROMPT_TOKENS_PER_OUTPUT_TOKEN;
    bound * f64::from(most) / work
}

fn mixes() -> Vec<Mix> {
    let equal = || fixture::fleet(4, SLOTS, 10);
    vec![
        mix("equal", equal()),
        mix("one slow kind", slow_kind()),
        mix("one slow link", slow_link()),
        lost(equal()),
        waves(equal()),
    ]
}

/// Second stages of each zone run on one fast and four slow accelerators.
fn slow_kind() -> Bundle {
    let mut bundle = fixture::bundle(10);
    for zone in 0..3 {
        for kind in [0, 0] {
            fixture::stage(&mut bundle, zone, kind, 0, 16, SLOTS);
        }
        for kind in [0, 1, 1, 1, 1] {
            fixture::stage(&mut bundle, zone, kind, 16, 32, SLOTS);
        }
    }
    bundle
}

/// First stages are in zone a, second stages in zone b behind a slow link, and some of both in zone
/// c.
fn slow_link() -> Bundle {
    let mut bundle = fixture::bundle(10);
    for _ in 0..4 {
        fixture::stage(&mut bundle, 0, 0, 0, 16, SLOTS);
        fixture::stage(&mut bundle, 1, 0, 16, 32, SLOTS);
    }
    for _ in 0..2 {
        fixture::stage(&mut bundle, 0, 0, 16, 32, SLOTS);
        fixture::stage(&mut bundle, 2, 0, 0, 16, SLOTS);
        fixture::stage(&mut bundle, 2, 0, 16, 32, SLOTS);
    }
    fixture::link(&mut bundle, 0, 1, 400.0);
    bundle
}

/// One second stage dies before the measurement.
fn lost(bundle: Bundle) -> Mix {
    let mut less = bundle.clone();
    less.endpoints[1].spans.clear();
    Mix {
        bound: mix("", less).bound,
        lost: Some(1),
        ..mix("a stage lost", bundle)
    }
}

/// Requests use 60 menus of 8 blocks each; the maximum throughput assumes that each menu is cached.
fn waves(bundle: Bundle) -> Mix {
    let bound = generated(route::plan::max_throughput(&bundle, 0), 32, host::BLOCK);
    Mix {
        menus: 60,
        prompt: 9 * host::BLOCK,
        bound,
        ..mix("menu waves", bundle)
    }
}

/// Runs a mix; returns throughput relative to the maximum, and the 95th percentile of the mean gap
/// between tokens in milliseconds.
fn run<B: Handler>(mix: &Mix, nodes: usize, handler: impl Fn(u64) -> B) -> (f64, f64) {
    let mut world = World::new(mix.bundle.clone(), nodes, 11, handler);
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let per_second = mix.bound * OFFERED / f64::from(mix.most);
    let count = (per_second * END.as_secs_f64()) as u64;
    for i in 0..count {
        let base = fixture::request(i.into(), Duration::from_secs(3600));
        let menu = if mix.menus > 0 {
            rng.random_range(0..mix.menus)
        } else {
            0
        };
        let blocks = if mix.menus > 0 { 8 } else { 0 };
        let prefix = (0..blocks).map(|b| menu * 100 + b).collect();
        let team = rng.random_range(0..10);
        let request = Request {
            team,
            prefix,
            prompt_tokens: mix.prompt,
            max_tokens: mix.most,
            ..base
        };
        let at = Duration::from_secs_f64(i as f64 / per_second);
        world.arrive(at, rng.random_range(0..nodes), request);
    }
    mix.lost
        .into_iter()
        .for_each(|h| world.fault(Duration::from_secs(2), Fault::Die(h)));
    world.run(WARM);
    let before = world.tokens;
    world.run(END);
    let rate = (world.tokens - before) as f64 / (END - WARM).as_secs_f64();
    assert_eq!(world.all_violations(), Vec::<String>::new());
    (rate / mix.bound, gap(&world))
}

fn gap<B: Handler>(world: &World<B>) -> f64 {
    let ended = world
        .calls
        .values()
        .filter(|c| c.ended.is_some_and(|e| e > WARM));
    let gaps = ended.filter_map(|c| {
        let time = c.ended?.checked_sub(c.first_token?)?;
        (c.tokens > 1).then(|| time.as_secs_f64() * 1e3 / f64::from(c.tokens - 1))
    });
    let mut gaps: Vec<f64> = gaps.collect();
    gaps.sort_by(f64::total_cmp);
    gaps.get(gaps.len() * 95 / 100).copied().unwrap_or(0.0)
}

fn main() {
    println!("throughput over the bound (p95 of the mean gap between tokens, ms)");
    println!(
        "{:15} {:>7} {:>8}  {:>14} {:>14} {:>14} {:>14}",
        "mix", "routers", "bound", "wigeonshelf", "round robin", "least", "two random"
    );
    let only = std::env::args().nth(1);
    for mix in mixes()
        .into_iter()
        .filter(|m| only.as_ref().is_none_or(|o| o == m.name))
    {
        for nodes in [1, 3, 8] {
            let ours = run(&mix, nodes, |seed| Router::new(seed, Settings::default()));
            let base = |policy| run(&mix, nodes, |seed| Baseline::new(policy, seed));
            let all = [
                ours,
                base(Policy::RoundRobin),
                base(Policy::LeastLoaded),
                base(Policy::TwoRandom),
            ];
            let cells = all.map(|(rate, gap)| format!("{rate:.3} ({gap:.0})"));
            println!(
                "{:15} {nodes:>7} {:>8.0}  {:>14} {:>14} {:>14} {:>14}",
                mix.name, mix.bound, cells[0], cells[1], cells[2], cells[3]
            );
        }
    }
}
