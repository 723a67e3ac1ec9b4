//! Nodes and endpoints of the simulated fleet, their assignments, and the records of the store.

use catalog::endpoint::Run;
use catalog::source::{Page, Record, Table};
use member::identity::Identity;
use member::peer::Peer;
use node::hosted::control::assignment::{Assignment, EngineCounts};
use std::collections::BTreeSet;
use std::time::Duration;

pub(super) fn identity(number: usize) -> Identity {
    Identity {
        name: format!("node-{number}"),
        addr: ([10, 0, (number / 250) as u8, (number % 250) as u8], 80).into(),
        zone: ["a", "b", "c"][number % 3].to_owned(),
        region: "r".to_owned(),
        incarnation: 1,
    }
}

pub(super) fn run(number: usize) -> Run {
    Run {
        id: format!("i-{number:010}"),
        started_at: 1,
    }
}

/// Computes the assignment of a node among those that accept new work. Endpoints are spread evenly
/// over the zones.
pub(super) fn assignment<'a>(
    now: Duration,
    peer: &Peer,
    accepting: impl Iterator<Item = &'a Peer>,
    endpoints: usize,
) -> Assignment {
    let third = endpoints / 3;
    let engines = EngineCounts::from([("a", third), ("b", third), ("c", endpoints - 2 * third)]);
    let isolated = BTreeSet::new();
    Assignment::of(
        now,
        peer.id,
        &peer.identity.zone,
        accepting,
        &isolated,
        &engines,
    )
}

/// Returns the endpoints that a node polls for their load.
pub(super) fn polled_engines(assignment: &Assignment, endpoints: usize) -> Vec<usize> {
    let zone = |n: usize| ["a", "b", "c"][n % 3];
    let own = (0..endpoints).filter(|&n| assignment.polls(zone(n), &run(n)));
    own.collect()
}

pub(super) fn record(key: String, bytes: usize, offset: u64) -> Page {
    let value = Some(vec![7; bytes].into());
    Page {
        records: vec![Record { key, value, offset }],
        next_offset: offset + 1,
        complete: false,
    }
}

pub(super) fn whole(table: &Table) -> Page {
    Page {
        complete: true,
        ..table.since(0)
    }
}
