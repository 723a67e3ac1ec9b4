//! Measures waits of urgent requests and fair shares at three times the maximum load, with 8
//! routers.

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
use world::{Call, World};

const NODES: usize = 8;
const TEAMS: usize = 10;
const WARM: Duration = Duration::from_secs(6);
const END: Duration = Duration::from_secs(26);
/// Weight of the first team; the other teams have weight 1.
const WEIGHT: u32 = 3;

/// Runs ordinary load at `fair` and urgent load at `urgent` times the maximum throughput. The first
/// team sends 30 % of it, the second 40 %, the others 30 % together.
fn run(fair: f64, urgent: f64) -> World<Router> {
    let mut bundle = fixture::fleet(4, 24, TEAMS);
    bundle.teams[0].weight = WEIGHT;
    let bound = route::plan::max_throughput(&bundle, 0) * 32.0 / 33.0;
    let mut world = World::new(bundle, NODES, 3, |s| Router::new(s, Settings::default()));
    let mut rng = ChaCha8Rng::seed_from_u64(9);
    let mut id = 0_u128;
    for (load, priority) in [(fair, 1_u8), (urgent, 0)] {
        let per_second = bound * load / 32.0;
        for i in 0..(per_second * END.as_secs_f64()) as u64 {
            let at = Duration::from_secs_f64(i as f64 / per_second);
            let base = fixture::request(id, at + Duration::from_secs(10));
            let team = match rng.random_range(0..100) {
                0..30 => 0,
                30..70 => 1,
                _ => rng.random_range(2..TEAMS as u16),
            };
            let request = Request {
                team,
                priority,
                max_tokens: 32,
                prompt_tokens: 16,
                ..base
            };
            world.arrive(at, rng.random_range(0..NODES), request);
            id += 1;
        }
    }
    world.run(END + Duration::from_secs(1));
    assert_eq!(world.all_violations(), Vec::<String>::new());
    world
}

/// Returns the sorted times in milliseconds from arrival to the time given by `until`; infinite if
/// there is none.
fn waits(world: &World<Router>, until: impl Fn(&Call) -> Option<Duration>) -> Vec<f64> {
    let calls = world.calls.values().filter(|c| c.request.priority == 0);
    let late = calls.filter(|c| c.arrived > WARM && c.arrived < END - Duration::from_secs(2));
    let wait = |c: &Call| until(c).map_or(f64::INFINITY, |u| (u - c.arrived).as_secs_f64() * 1e3);
    let mut waits: Vec<f64> = late.map(wait).collect();
    waits.sort_by(f64::total_cmp);
    waits
}

fn at(waits: &[f64], part: f64) -> f64 {
    waits
        .get((waits.len() as f64 * part) as usize)
        .copied()
        .unwrap_or(f64::NAN)
}

fn complete(world: &World<Router>, team: u16, priority: u8) -> f64 {
    let calls = world.calls.values();
    let done = calls.filter(|c| c.outcome == Some(Outcome::Complete) && c.ended > Some(WARM));
    done.filter(|c| c.request.team == team && c.request.priority == priority)
        .count() as f64
}

fn main() {
    println!("urgent requests, ms to the start of the first attempt and to the first token;");
    println!("fair work done over the bound");
    println!(
        "{:>6} {:>7} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9}",
        "fair", "urgent", "start p50", "p99", "token p50", "p99", "fair done", "paused"
    );
    for (fair, urgent) in [
        (0.0, 0.05),
        (0.5, 0.05),
        (3.0, 0.05),
        (3.0, 0.2),
        (3.0, 0.5),
    ] {
        let world = run(fair, urgent);
        let starts = waits(&world, |c| c.started);
        let tokens = waits(&world, |c| c.first_token);
        let bound = route::plan::max_throughput(&world.bundle, 0) * 32.0 / 33.0;
        let done: f64 = (0..TEAMS as u16).map(|t| complete(&world, t, 1)).sum();
        let rate = done * 32.0 / (END - WARM + Duration::from_secs(1)).as_secs_f64();
        let paused: u64 = world.nodes.iter().map(|n| n.handler.report().paused).sum();
        println!(
            "{fair:>6.2} {urgent:>7.2} {:>9.1} {:>9.1} {:>9.1} {:>9.1} {:>9.3} {paused:>9}",
            at(&starts, 0.5),
            at(&starts, 0.99),
            at(&tokens, 0.5),
            at(&tokens, 0.99),
            rate / bound
        );
    }
    shares();
}

/// Prints the fair shares at three times the maximum load: work done by each team over its weight.
fn shares() {
    let world = run(3.0, 0.0);
    let done: Vec<f64> = (0..TEAMS as u16).map(|t| complete(&world, t, 1)).collect();
    println!("\nrequests done by team at 3.00: team0 has weight {WEIGHT}, team1 sends 40 in 100");
    done.iter()
        .enumerate()
        .for_each(|(t, n)| print!("team{t} {n:.0}  "));
    let part: Vec<f64> = done
        .iter()
        .enumerate()
        .map(|(t, n)| if t == 0 { n / f64::from(WEIGHT) } else { *n })
        .collect();
    let (sum, squares) = (
        part.iter().sum::<f64>(),
        part.iter().map(|p| p * p).sum::<f64>(),
    );
    println!(
        "\nJain's index of work over weight: {:.3}",
        sum * sum / (TEAMS as f64 * squares)
    );
    let refused = world.calls.values().filter(|c| c.refusal.is_some()).count();
    let late = world
        .calls
        .values()
        .filter(|c| {
            c.outcome == Some(Outcome::NotRun) && c.ended.is_some_and(|e| e >= c.request.deadline)
        })
        .count();
    let all = world.calls.len();
    println!("refused {refused} of {all}, of these {late} only at their deadline");
}
