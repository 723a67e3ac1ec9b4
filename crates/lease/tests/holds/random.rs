//! Long randomised runs, and broken variants that they catch.

use crate::world::{Break, Faults, World};
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

fn run(seed: u64, faults: Faults, broken: Break) -> World {
    let mut world = World::new(seed, broken);
    world.run(LENGTH, faults);
    world
}

fn holds(seeds: std::ops::Range<u64>, faults: Faults) -> Vec<World> {
    let worlds: Vec<World> = seeds.clone().map(|s| run(s, faults, Break::None)).collect();
    for (seed, world) in seeds.zip(&worlds) {
        assert!(
            world.findings.is_empty(),
            "seed {seed}: {:#?}",
            world.findings
        );
    }
    worlds
}

#[test]
fn without_faults_one_holder_stays() {
    for world in holds(0..3, NONE) {
        assert_eq!(world.changes, 0);
        assert!(world.orders > 500, "{}", world.orders);
    }
}

/// Holders pause unaware, die, leave and come back; the log goes out, loses answers, takes records
/// up to 20 s late and drops old ones. No order leaves within the longest order's time of another
/// holder's, and fencing numbers only rise.
#[test]
fn all_faults_together() {
    let worlds = holds(100..130, ALL);
    assert!(worlds.iter().map(|w| w.changes).sum::<u32>() > 100);
    assert!(worlds.iter().map(|w| w.orders).sum::<u32>() > 5000);
}

#[test]
fn each_fault_alone() {
    holds(200..203, Faults { outages: 3, ..NONE });
    holds(210..213, Faults { deaths: 6, ..NONE });
    holds(220..223, Faults { pauses: 6, ..NONE });
    holds(230..233, Faults { trims: 6, ..NONE });
    holds(240..243, Faults { lost: 50, ..NONE });
    holds(
        250..253,
        Faults {
            leaves: 5,
            lost: 20,
            ..NONE
        },
    );
}

/// The long run: `cargo test --release -p wigeonshelf-lease --test holds -- --ignored`.
#[test]
#[ignore = "minutes long"]
fn long() {
    holds(1000..3000, ALL);
}

fn caught(broken: Break) {
    let bitten = (300..360).any(|seed| {
        let findings = run(seed, ALL, broken).findings;
        findings.iter().any(|text| text.contains("beside"))
    });
    assert!(bitten, "{broken:?} went unnoticed");
}

#[test]
fn a_permit_asked_before_a_pause_is_caught() {
    caught(Break::EarlyPermit);
}

#[test]
fn a_holder_with_a_longer_term_is_caught() {
    caught(Break::LongTerm);
}

#[test]
fn a_successor_that_does_not_wait_is_caught() {
    caught(Break::ShortWait);
}

#[test]
fn holding_on_the_append_answer_is_caught() {
    caught(Break::TrustAppend);
}
