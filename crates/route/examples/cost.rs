//! Measures the cost of a router's decisions in wall-clock time: per selection with 40, 260 and
//! 4,700 replicas, per admission with 10 and 470 teams, per tick and per view.

#[path = "../tests/support/fixture.rs"]
mod fixture;

use bundle::Bundle;
use bundle::zone::Zone;
use route::action::Action;
use route::event::Event;
use route::request::{Request, Target};
use route::router::Router;
use route::settings::Settings;
use std::sync::Arc;
use std::time::{Duration, Instant};

const ROUNDS: u32 = 20_000;
const FAR_DEADLINE: Duration = Duration::from_secs(36_000);

/// Returns a fleet of `replicas` two-stage replicas, spread over `models` models and `zones` zones.
fn fleet(replicas: usize, models: usize, zones: usize, slots: u32, teams: usize) -> Bundle {
    let mut bundle = fixture::bundle(teams);
    let zone = |z: usize| Zone {
        name: format!("z{z}"),
        region: format!("r{}", z * 8 / 18),
    };
    bundle.zones = (0..zones).map(zone).collect();
    bundle.models = (0..models)
        .map(|m| fixture::model(&format!("m{m}")))
        .collect();
    for a in 0..zones as u16 {
        (a..zones as u16).for_each(|b| fixture::link(&mut bundle, a, b, 1e6));
    }
    for replica in 0..replicas {
        let (zone, model) = ((replica / models % zones) as u16, (replica % models) as u16);
        for (from, to) in [(0, 16), (16, 32)] {
            fixture::stage(&mut bundle, zone, (replica % 2) as u16, from, to, slots);
            bundle.endpoints.last_mut().expect("just added").spans[0].model = model;
        }
    }
    bundle
}

fn router(bundle: Bundle) -> (Router, Duration) {
    let mut router = Router::new(1, Settings::default());
    let view = Arc::new(fixture::view(&Arc::new(bundle), 0));
    let started = Instant::now();
    router.handle(Duration::from_secs(1), Event::View(view), &mut Vec::new());
    (router, started.elapsed())
}

/// Measures an arrival that starts immediately, and its end.
fn choice(replicas: usize, models: usize, zones: usize, prefixes: usize) {
    let (mut router, view) = router(fleet(replicas, models, zones, 64, 10));
    let mut now = Duration::from_secs(2);
    let mut out = Vec::new();
    let (mut arrive, mut end) = (Duration::ZERO, Duration::ZERO);
    for i in 0..ROUNDS {
        now += Duration::from_micros(500);
        let prefix = (0..prefixes as u64)
            .map(|b| u64::from(i) % 60 * 100 + b)
            .collect();
        let target = Target::Model((i as usize % models) as u16, None);
        let base = fixture::request(i.into(), FAR_DEADLINE);
        let request = Request {
            prefix,
            target,
            ..base
        };
        let started = Instant::now();
        router.handle(now, Event::Arrive(request), &mut out);
        arrive += started.elapsed();
        assert!(matches!(out[..], [Action::Start(..)]), "{out:?}");
        out.clear();
        let old = i.saturating_sub(40);
        let started = Instant::now();
        router.handle(now, Event::Finished(old.into(), 1), &mut out);
        end += started.elapsed();
        out.clear();
    }
    let tick = tick(&mut router, now);
    println!(
        "{replicas:>9} {models:>7} {zones:>6} {prefixes:>7} {:>10.0} {:>9.0} {:>9.1} {:>9.2}",
        arrive.as_nanos() as f64 / f64::from(ROUNDS),
        end.as_nanos() as f64 / f64::from(ROUNDS),
        tick.as_nanos() as f64 / 1e3,
        view.as_secs_f64() * 1e3
    );
}

fn tick(router: &mut Router, mut now: Duration) -> Duration {
    let mut out = Vec::new();
    let started = Instant::now();
    for _ in 0..200 {
        now += Duration::from_millis(20);
        router.handle(now, Event::Tick, &mut out);
    }
    started.elapsed() / 200
}

/// Measures an arrival while the queues are full, and an end that starts the next request by fair
/// shares.
fn admission(teams: usize, waiting: u32) {
    let (mut router, _) = router(fleet(40, 1, 3, 2, teams));
    let mut now = Duration::from_secs(2);
    let mut out = Vec::new();
    let mut id = 0_u32;
    let mut arrive = |router: &mut Router, now, out: &mut Vec<Action>| {
        let base = fixture::request(id.into(), FAR_DEADLINE);
        id += 1;
        let request = Request {
            team: (id as usize % teams) as u16,
            ..base
        };
        router.handle(now, Event::Arrive(request), out);
    };
    (0..waiting + 80).for_each(|_| arrive(&mut router, now, &mut out));
    let (mut enter, mut next) = (Duration::ZERO, Duration::ZERO);
    let mut running: std::collections::VecDeque<(u128, u32)> = Default::default();
    let rounds = ROUNDS / 4;
    for _ in 0..rounds {
        now += Duration::from_micros(100);
        running.extend(out.drain(..).filter_map(|a| match a {
            Action::Start(id, attempt, _) => Some((id, attempt)),
            _ => None,
        }));
        let started = Instant::now();
        arrive(&mut router, now, &mut out);
        enter += started.elapsed();
        let (id, attempt) = running.pop_front().expect("some run");
        let started = Instant::now();
        router.handle(now, Event::Finished(id, attempt), &mut out);
        next += started.elapsed();
    }
    println!(
        "{teams:>9} {waiting:>8} {:>10.0} {:>10.0}",
        enter.as_nanos() as f64 / f64::from(rounds),
        next.as_nanos() as f64 / f64::from(rounds)
    );
}

/// Measures the progress of two hops and the token that they generate.
fn token() {
    let (mut router, _) = router(fleet(40, 1, 3, 16, 10));
    let mut out = Vec::new();
    let mut now = Duration::from_secs(2);
    router.handle(
        now,
        Event::Arrive(fixture::request(1, FAR_DEADLINE)),
        &mut out,
    );
    let started = Instant::now();
    for _ in 0..ROUNDS {
        now += Duration::from_millis(10);
        router.handle(now, Event::Progress(1, 1, 0), &mut out);
        router.handle(now, Event::Progress(1, 1, 1), &mut out);
        router.handle(now, Event::Token(1, 1), &mut out);
    }
    println!(
        "{:.0} ns per token of two hops (three events)",
        started.elapsed().as_nanos() as f64 / f64::from(ROUNDS)
    );
}

fn main() {
    println!(
        "{:>9} {:>7} {:>6} {:>7} {:>10} {:>9} {:>9} {:>9}",
        "replicas", "models", "zones", "blocks", "choice ns", "end ns", "tick us", "view ms"
    );
    for prefixes in [0, 8] {
        choice(40, 1, 3, prefixes);
        choice(260, 1, 18, prefixes);
        choice(4700, 18, 18, prefixes);
        choice(4700, 1, 18, prefixes);
    }
    println!(
        "\n{:>9} {:>8} {:>10} {:>10}",
        "teams", "waiting", "enter ns", "next ns"
    );
    for (teams, waiting) in [(10, 100), (10, 2000), (470, 100), (470, 2000)] {
        admission(teams, waiting);
    }
    println!();
    token();
}
