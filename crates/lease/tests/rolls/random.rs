//! Randomized rolls with new bundles, restarts, deaths, lost orders and new holders combined.

use crate::fleet::{Defect, Engine, Fleet, SECOND, bundle, settings};
use lease::roll::{Health, Roll};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STEPS: u32 = 1500;

fn run(seed: u64, defect: Defect) -> Fleet {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let replicas = random.random_range(2..4);
    let mut fleet = Fleet::full(bundle(1, 3, replicas, "v1"));
    fleet.engine = if random.random() {
        Engine::Beside
    } else {
        Engine::InPlace
    };
    fleet.defect = defect;
    let mut number = 1;
    for step in 0..STEPS {
        fleet.run(SECOND);
        let faults_ended = step > STEPS / 2;
        let id = random.random_range(0..fleet.reports.len());
        match random.random_range(0..400) {
            0..3 if !faults_ended => {
                number += 1;
                fleet.bundle = bundle(number, 3, replicas, &format!("v{number}"));
                fleet.bad = random.random_bool(0.2).then(|| format!("v{number}"));
            }
            3 if !faults_ended => fleet.restart(id),
            4 if !faults_ended => fleet.health[id] = Health::Down,
            5 if !faults_ended => fleet.health[id] = Health::Leaving,
            6..20 if fleet.health[id] != Health::Up => {
                fleet.restart(id);
                fleet.health[id] = Health::Up;
            }
            20..26 => fleet.lose = random.random_range(0..3),
            26..28 => fleet.roll = Roll::new(settings()),
            _ => {}
        }
    }
    for id in 0..fleet.reports.len() {
        if fleet.health[id] != Health::Up {
            fleet.restart(id);
            fleet.health[id] = Health::Up;
        }
    }
    fleet.bad = None;
    fleet.bundle = bundle(number + 1, 3, replicas, "last");
    fleet.run(SECOND * 2500);
    fleet
}

#[test]
fn after_all_faults_the_last_bundle_is_reached_and_a_complete_replica_kept() {
    for seed in 0..40 {
        let fleet = run(seed, Defect::None);
        assert_eq!(fleet.findings, Vec::<String>::new(), "seed {seed}");
        assert_eq!(
            fleet.done(),
            fleet.reports.len(),
            "seed {seed}: {}",
            fleet.roll
        );
    }
}

/// Long run. Start it with `cargo test --release -p wigeonshelf-lease --test rolls -- --ignored`.
#[test]
#[ignore = "minutes long"]
fn long() {
    for seed in 1000..3000 {
        let fleet = run(seed, Defect::None);
        assert_eq!(fleet.findings, Vec::<String>::new(), "seed {seed}");
        assert_eq!(
            fleet.done(),
            fleet.reports.len(),
            "seed {seed}: {}",
            fleet.roll
        );
    }
}

fn assert_detected(defect: Defect, text: &str) {
    let detected = (300..320).any(|seed| {
        let findings = run(seed, defect).findings;
        findings.iter().any(|finding| finding.contains(text))
    });
    assert!(detected, "{defect:?} was not detected");
}

#[test]
fn loads_reported_as_ready_are_detected() {
    assert_detected(Defect::FalseReady, "no whole replica");
}

#[test]
fn fetches_over_the_rate_are_detected() {
    assert_detected(Defect::OtherRate, "fetches at once");
}
