//! Long randomised runs, and broken variants that they catch.

use crate::world::{ALL, Break, Faults, Tally, World};
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

fn run(seed: u64, faults: Faults, broken: Break) -> World {
    let mut world = World::new(seed, broken);
    world.run(KEYS, LENGTH, faults);
    world
}

fn holds(seeds: std::ops::Range<u64>, faults: Faults) -> Vec<Tally> {
    let check = |seed| {
        let world = run(seed, faults, Break::None);
        assert!(
            world.findings.is_empty(),
            "seed {seed}: {:#?}",
            world.findings
        );
        world.tally
    };
    seeds.map(check).collect()
}

fn total(tallies: &[Tally], count: impl Fn(&Tally) -> u64) -> u64 {
    tallies.iter().map(count).sum()
}

#[test]
fn without_faults_every_first_send_is_settled() {
    for tally in holds(0..3, NONE) {
        assert!(tally.runs as usize >= KEYS, "{tally:?}");
    }
}

/// Nodes die and pause, the log goes out, loses answers, takes appends seconds late and drops old
/// records, all together, while callers send each key up to six times to any node. No key is sent
/// to an endpoint twice, and nobody is told "not run" about a key that was sent.
#[test]
fn all_faults_together() {
    let tallies = holds(100..120, ALL);
    // The run is worth something only if the faults came about.
    assert!(total(&tallies, |t| t.gaps) > 0, "{tallies:?}");
    assert!(total(&tallies, |t| t.unsure) > 100);
    assert!(total(&tallies, |t| t.released) > 100);
    assert!(total(&tallies, |t| t.expired.into()) > 10);
    assert!(total(&tallies, |t| t.complete.into()) > 100);
    assert!(total(&tallies, |t| t.runs.into()) > 1000);
}

#[test]
fn each_fault_alone_and_twice() {
    holds(200..202, Faults { outages: 2, ..NONE });
    holds(210..212, Faults { deaths: 4, ..NONE });
    holds(220..222, Faults { pauses: 4, ..NONE });
    holds(230..232, Faults { trims: 4, ..NONE });
    holds(240..242, Faults { lost: 50, ..NONE });
}

/// The long run: `cargo test --release -p wigeonshelf-lease --test claims -- --ignored`.
#[test]
#[ignore = "minutes long"]
fn long() {
    holds(1000..4000, ALL);
}

fn caught(broken: Break) {
    let bitten = (300..340).any(|seed| {
        let findings = run(seed, ALL, broken).findings;
        findings.iter().any(|text| text.contains("sent 2 times"))
    });

    assert!(bitten, "{broken:?} went unnoticed");
}

#[test]
fn an_incarnation_used_twice_is_caught() {
    caught(Break::SameIncarnation);
}

#[test]
fn a_log_that_hides_what_it_dropped_is_caught() {
    caught(Break::HiddenTrim);
}

#[test]
fn running_on_the_append_answer_is_caught() {
    caught(Break::TrustAppend);
}

#[test]
fn a_log_that_orders_differently_for_some_is_caught() {
    caught(Break::OtherOrder);
}

#[test]
fn clocks_beyond_the_allowed_error_are_caught() {
    caught(Break::Clocks);
}

#[test]
fn a_false_word_that_a_sent_request_was_not_run_is_caught() {
    caught(Break::FalseNotRun);
}
