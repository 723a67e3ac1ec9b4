//! Levels, shares and the text of a group for the dump.

use member::demand::{Demand, Limit};
use member::group::Group;
use member::identity::Identity;
use member::item::{Observation, team};
use member::level::Level;
use member::settings::Settings;
use member::share::{self, Input};
use member::team::{self, Teams};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

#[test]
fn levels_round_up_by_less_than_a_fifth() {
    assert_eq!(Level::of(0.0).amount(), 0.0);
    assert_eq!(Level::of(f64::NAN), Level(0));
    for step in 0..2_000 {
        let amount = 0.01 * 1.02f64.powi(step);
        let level = Level::of(amount).amount();
        assert!(
            level >= amount * (1.0 - 1e-6) && level <= amount * 1.2,
            "{amount} {level}"
        );
    }
    assert_eq!(Level::of(f64::INFINITY), Level(255));
}

/// Guards against shares that don't add up to the limit when all nodes see the same demand, or that exceed it
/// when nodes see more demand of the others than there is.
#[test]
fn shares_add_up_to_the_limit() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    for _ in 0..500 {
        let nodes = rng.random_range(1..400usize);
        let limit = rng.random_range(0.1..1000.0);
        let idle = rng.random_bool(0.2);
        let demand = |rng: &mut ChaCha8Rng| {
            if idle {
                0.0
            } else {
                rng.random_range(0.0..limit)
            }
        };
        let demands: Vec<f64> = (0..nodes).map(|_| demand(&mut rng)).collect();
        let all: f64 = demands.iter().sum();
        let split = |own: f64, late: f64| {
            let others = all - own + late;
            share::node_share(&Input {
                limit,
                nodes,
                near_nodes: nodes,
                side_fraction: 1.0,
                own_demand: own,
                others_demand: others,
            })
        };
        let sum: f64 = demands.iter().map(|d| split(*d, 0.0)).sum();
        assert!((sum - limit).abs() < limit * 1e-6, "{sum} of {limit}");
        let less: f64 = demands.iter().map(|d| split(*d, limit / 2.0)).sum();
        assert!(less <= limit);
    }
}

/// Guards against fractions of two sides that don't add up to 1 when both know the same demand of each other.
#[test]
fn parts_add_up_to_the_whole() {
    let (near, far) = (30.0, 10.0);
    let a = share::side_after_split(1.0, near, far);
    let b = share::side_after_split(1.0, far, near);
    assert!((a + b - 1.0).abs() < 1e-9);
    assert!((share::side_after_rejoin(a, far, far) - 1.0).abs() < 1e-9);
    assert_eq!(share::side_after_split(1.0, 0.0, 0.0), 1.0);
}

/// Guards against rounding that changes the sum: a limit of 50 requests in flight on 370 nodes gives whole slots
/// whose sum is about 50.
#[test]
fn slots_are_whole_and_add_up_on_average() {
    let mut rng = ChaCha8Rng::seed_from_u64(4);
    let mut sums = Vec::new();
    for _ in 0..100 {
        let slot = |_: usize| share::slots(50.0 / 370.0, rng.random());
        sums.push((0..370).map(slot).sum::<u32>());
    }
    let mean = f64::from(sums.iter().sum::<u32>()) / 100.0;
    assert!((47.0..53.0).contains(&mean), "{mean}");
    assert_eq!(share::slots(3.0, 0), 3);
}

fn group() -> Group {
    let identity = Identity {
        name: "a".into(),
        addr: "10.0.0.1:7000".parse().expect("address"),
        zone: "z".into(),
        region: "r".into(),
        incarnation: 4,
    };
    Group::new(identity, 1, Settings::default())
}

/// Guards against announcements of unchanged demand, or of small changes before large ones. Changes are ranked
/// by their fraction of the limit, within the budget.
#[test]
fn large_changes_are_announced_first() {
    let settings = team::Settings {
        max_node_items_per_second: 2.0,
        ..team::Settings::default()
    };
    let mut teams = Teams::new(settings);
    let limits: Vec<Limit> = (0..5)
        .map(|t| Limit {
            team: team(&format!("t{t}")),
            rate: 100.0,
            in_flight: 100.0,
        })
        .collect();
    let demand = |t: usize| Demand {
        rate: 20.0 * t as f64,
        in_flight: 0.0,
    };
    let demands: Vec<Demand> = (0..5).map(demand).collect();
    let group = group();
    let mut step = |s: u64| {
        teams
            .step(Duration::from_secs(s), &group, &limits, &demands)
            .publish
    };
    let named = |b: &Observation| match b {
        Observation::Demand { team, .. } => limits.iter().position(|l| l.team == *team),
        _ => None,
    };
    let first: Vec<_> = step(1).iter().map(named).collect();
    let second: Vec<_> = step(2).iter().map(named).collect();
    assert_eq!(
        (first, second),
        (vec![Some(4), Some(3)], vec![Some(2), Some(1)])
    );
    assert!(step(3).is_empty());
}

#[test]
fn a_group_prints_its_state() {
    let mut group = group();
    let body = Observation::Demand {
        team: 7,
        rate: Level::of(10.0),
        in_flight: Level::of(20.0),
    };
    let event = member::event::Event::Publish(vec![body, Observation::Leaving]);
    group.handle(Duration::from_secs(1), event, &mut Vec::new());
    let text = group.to_string();
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines[0], "head none");
    assert_eq!(
        lines[2],
        "me a 10.0.0.1:7000 r/z run 4 Up since 0ns turn 0 v1 list None leaving=true"
    );
    assert_eq!(lines[3], "  leaving");
    assert_eq!(lines[4], "  demand 7 rate 10.240 in-flight 20.480");
}
