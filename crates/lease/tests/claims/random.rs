//! Randomized runs, and deliberate defects that they must detect.

use crate::world::{ALL, Defect, Faults, Simulation, Totals};
use std::time::Duration;

const LENGTH: Duration = Duration::from_secs(60);
const KEYS: usize = 120;
const NONE: Faults = Faults {
    outages: 0,
    deaths: 0,
    pauses: 0,
    trims: 0,
    lost: 0,
};

fn run(seed: u64, faults: Faults, defect: Defect) -> Simulation {
    let mut simulation = Simulation::new(seed, defect);
    simulation.run(KEYS, LENGTH, faults);
    simulation
}

fn assert_invariants(seeds: std::ops::Range<u64>, faults: Faults) -> Vec<Totals> {
    let run_checked = |seed| {
        let simulation = run(seed, faults, Defect::None);
        assert!(
            simulation.findings.is_empty(),
            "seed {seed}: {:#?}",
            simulation.findings
        );
        simulation.totals
    };
    seeds.map(run_checked).collect()
}

fn total(all_totals: &[Totals], count: impl Fn(&Totals) -> u64) -> u64 {
    all_totals.iter().map(count).sum()
}

#[test]
fn without_faults_every_first_send_is_settled() {
    for totals in assert_invariants(0..3, NONE) {
        assert!(totals.runs as usize >= KEYS, "{totals:?}");
    }
}

/// Combines all faults: nodes die and pause, and the log becomes unavailable, loses answers,
/// applies appends seconds late and drops old records. Callers send each key up to six times to any
/// node. No key may be sent to an endpoint twice, and no caller may get "not run" for a key that
/// was sent.
#[test]
fn all_faults_together() {
    let all_totals = assert_invariants(100..120, ALL);
    // The run is meaningful only if the faults occurred.
    assert!(total(&all_totals, |t| t.gaps) > 0, "{all_totals:?}");
    assert!(total(&all_totals, |t| t.unsure) > 100);
    assert!(total(&all_totals, |t| t.released) > 100);
    assert!(total(&all_totals, |t| t.expired.into()) > 10);
    assert!(total(&all_totals, |t| t.complete.into()) > 100);
    assert!(total(&all_totals, |t| t.runs.into()) > 1000);
}

#[test]
fn each_fault_alone_and_twice() {
    assert_invariants(200..202, Faults { outages: 2, ..NONE });
    assert_invariants(210..212, Faults { deaths: 4, ..NONE });
    assert_invariants(220..222, Faults { pauses: 4, ..NONE });
    assert_invariants(230..232, Faults { trims: 4, ..NONE });
    assert_invariants(240..242, Faults { lost: 50, ..NONE });
}

/// Long run. Start it with `cargo test --release -p wigeonshelf-lease --test claims -- --ignored`.
#[test]
#[ignore = "minutes long"]
fn long() {
    assert_invariants(1000..4000, ALL);
}

fn assert_detected(defect: Defect) {
    let detected = (300..340).any(|seed| {
        let findings = run(seed, ALL, defect).findings;
        findings.iter().any(|text| text.contains("sent 2 times"))
    });

    assert!(detected, "{defect:?} was not detected");
}

#[test]
fn an_incarnation_used_twice_is_detected() {
    assert_detected(Defect::SameIncarnation);
}

#[test]
fn a_log_that_hides_dropped_records_is_detected() {
    assert_detected(Defect::HiddenTrim);
}

#[test]
fn running_on_the_append_answer_is_detected() {
    assert_detected(Defect::TrustAppend);
}

#[test]
fn a_log_with_different_orders_for_some_nodes_is_detected() {
    assert_detected(Defect::OtherOrder);
}

#[test]
fn clocks_beyond_the_allowed_error_are_detected() {
    assert_detected(Defect::Clocks);
}

#[test]
fn a_false_report_that_a_sent_request_was_not_run_is_detected() {
    assert_detected(Defect::FalseNotRun);
}
