//! Long randomised runs that check all invariants: the router's own checks, and simulated endpoints
//! that compare the outcomes reported to callers with what was run.

#[path = "support/case.rs"]
mod case;
#[path = "support/fixture.rs"]
mod fixture;
#[path = "support/host.rs"]
mod host;
#[path = "support/world.rs"]
mod world;

use case::Case;
use route::request::Request;
use route::router::Router;
use route::settings::Settings;
use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Seeds of the fixed set; `examples/soak.rs` runs any number of seeds.
const SEEDS: std::ops::Range<u64> = 0..60;

fn router(seed: u64) -> Router {
    Router::new(seed, Settings::default())
}

fn violations(case: &Case) -> Vec<String> {
    let run = AssertUnwindSafe(|| case.run(router));
    catch_unwind(run).unwrap_or_else(|panic| {
        let text = panic
            .downcast_ref::<String>()
            .map_or("panic", String::as_str);
        vec![text.lines().next().unwrap_or_default().to_owned()]
    })
}

#[test]
fn random_cases_violate_no_invariant() {
    for seed in SEEDS {
        let case = Case::draw(seed);
        let found = violations(&case);
        if !found.is_empty() {
            let small = case.shrink(|c| !violations(c).is_empty());
            panic!("{found:?}\nshrunk to:\n{small}{:?}", violations(&small));
        }
    }
}

#[test]
fn cases_read_back_as_written() {
    for seed in SEEDS {
        let case = Case::draw(seed);
        assert_eq!(case.to_string().parse(), Ok(case));
    }
}

/// Ensures that the random cases exercise every safeguard; without this they would prove little.
#[test]
fn random_cases_reach_every_safeguard() {
    let mut sums: BTreeMap<&str, u64> = BTreeMap::new();
    for seed in SEEDS {
        let case = Case::draw(seed);
        let mut world = case.world(router);
        world.run(case.end());
        for node in &world.nodes {
            let rows = node.handler.report().rows();
            rows.into_iter()
                .for_each(|(name, value)| *sums.entry(name).or_default() += value);
        }
    }
    let reached = [
        "complete",
        "unknown",
        "refused_overload",
        "refused_deadline",
        "refused_condemned",
        "left",
        "attempts",
        "retries",
        "resumed",
        "paused",
        "moved",
        "slow",
        "failed",
        "busy",
        "stale",
        "probes",
        "ejected",
        "restored",
        "silent",
        "suspected",
        "condemned",
        "searched",
    ];
    let missed: Vec<_> = reached.iter().filter(|name| sums[*name] == 0).collect();
    assert!(missed.is_empty(), "not reached: {missed:?} in {sums:?}");
}

#[test]
fn hot_prefix_spreads_beyond_its_home_endpoints() {
    // All prompts share one prefix, as when the parents of one school ask about the same menu. At
    // 0.6 of the maximum throughput each request must start soon, although the home endpoints of
    // the prefix can't take them all.
    let bundle = fixture::fleet(4, 24, 1);
    let per_second = route::plan::max_throughput(&bundle, 0) * 0.6 / 32.0;
    let mut world = world::World::new(bundle, 3, 1, router);
    for i in 0..(per_second * 10.0) as u64 {
        let base = fixture::request(i.into(), std::time::Duration::from_secs(60));
        let prefix = (0..8).collect();
        let at = std::time::Duration::from_secs_f64(i as f64 / per_second);
        world.arrive(
            at,
            i as usize % 3,
            Request {
                prefix,
                prompt_tokens: 576,
                max_tokens: 32,
                ..base
            },
        );
    }
    world.run(std::time::Duration::from_secs(20));
    assert_eq!(world.all_violations(), Vec::<String>::new());
    let waits = world
        .calls
        .values()
        .map(|c| c.started.expect("started") - c.arrived);
    let mut waits: Vec<_> = waits.collect();
    waits.sort();
    let late = waits[waits.len() * 95 / 100];
    assert!(
        late < std::time::Duration::from_millis(500),
        "{late:?}, most {:?}",
        waits.last()
    );
}

/// Replays cases that failed before; each file states its failure.
#[test]
fn recorded_cases_stay_fixed() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/cases");
    let mut paths: Vec<_> = std::fs::read_dir(folder)
        .expect("the folder")
        .map(|entry| entry.expect("an entry").path())
        .collect();
    paths.sort();
    assert!(!paths.is_empty());
    for path in paths {
        let text = std::fs::read_to_string(&path).expect("a case file");
        let case: Case = text.parse().expect("a case");
        assert_eq!(
            violations(&case),
            Vec::<String>::new(),
            "{}",
            path.display()
        );
    }
}

/// Replays the case in the file named by `CASE` and prints its trace.
#[test]
fn replay() {
    let Ok(path) = std::env::var("CASE") else {
        return;
    };
    let text = std::fs::read_to_string(path).expect("a case file");
    let case: Case = text.parse().expect("a case");
    let mut world = case.world(router);
    world.trace = Some(Vec::new());
    world.run(case.end());
    world
        .trace
        .iter()
        .flatten()
        .for_each(|line| println!("{line}"));
    println!("{:?}\n{}", world.all_violations(), world.nodes[0].handler);
}
