//! Randomized runs, and deliberate defects that they must detect.

use crate::world::{Defect, Faults, Simulation};
use std::time::Duration;

const LENGTH: Duration = Duration::from_secs(400);
const NONE: Faults = Faults {
    outages: 0,
    deaths: 0,
    pauses: 0,
    trims: 0,
    leaves: 0,
    lost: 0,
};
const ALL: Faults = Faults {
    outages: 4,
    deaths: 8,
    pauses: 8,
    trims: 6,
    leaves: 4,
    lost: 20,
};

fn run(seed: u64, faults: Faults, defect: Defect) -> Simulation {
    let mut simulation = Simulation::new(seed, defect);
    simulation.run(LENGTH, faults);
    simulation
}

fn assert_invariants(seeds: std::ops::Range<u64>, faults: Faults) -> Vec<Simulation> {
    let simulations: Vec<Simulation> = seeds
        .clone()
        .map(|s| run(s, faults, Defect::None))
        .collect();
    for (seed, simulation) in seeds.zip(&simulations) {
        assert!(
            simulation.findings.is_empty(),
            "seed {seed}: {:#?}",
            simulation.findings
        );
    }
    simulations
}

#[test]
fn without_faults_one_holder_stays() {
    for simulation in assert_invariants(0..3, NONE) {
        assert_eq!(simulation.changes, 0);
        assert!(simulation.orders > 500, "{}", simulation.orders);
    }
}

/// Combines all faults: holders pause without noticing, die, leave and return, and the log becomes
/// unavailable, loses answers, applies appends up to 20 s late and drops old records. No order may
/// be sent within the maximum order time after another holder's, and fencing numbers must only
/// rise.
#[test]
fn all_faults_together() {
    let simulations = assert_invariants(100..130, ALL);
    assert!(simulations.iter().map(|w| w.changes).sum::<u32>() > 100);
    assert!(simulations.iter().map(|w| w.orders).sum::<u32>() > 5000);
}

#[test]
fn each_fault_alone() {
    assert_invariants(200..203, Faults { outages: 3, ..NONE });
    assert_invariants(210..213, Faults { deaths: 6, ..NONE });
    assert_invariants(220..223, Faults { pauses: 6, ..NONE });
    assert_invariants(230..233, Faults { trims: 6, ..NONE });
    assert_invariants(240..243, Faults { lost: 50, ..NONE });
    assert_invariants(
        250..253,
        Faults {
            leaves: 5,
            lost: 20,
            ..NONE
        },
    );
}

/// Long run. Start it with `cargo test --release -p wigeonshelf-lease --test holds -- --ignored`.
#[test]
#[ignore = "minutes long"]
fn long() {
    assert_invariants(1000..3000, ALL);
}

fn assert_detected(defect: Defect) {
    let detected = (300..360).any(|seed| {
        let findings = run(seed, ALL, defect).findings;
        findings.iter().any(|text| text.contains("beside"))
    });
    assert!(detected, "{defect:?} was not detected");
}

#[test]
fn a_permit_from_before_a_pause_is_detected() {
    assert_detected(Defect::EarlyPermit);
}

#[test]
fn a_holder_with_a_longer_term_is_detected() {
    assert_detected(Defect::LongTerm);
}

#[test]
fn a_successor_that_does_not_wait_is_detected() {
    assert_detected(Defect::ShortWait);
}

#[test]
fn holding_on_the_append_answer_is_detected() {
    assert_detected(Defect::TrustAppend);
}
