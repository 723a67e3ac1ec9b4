//! Which node reads the store, which one asks which engine for its load, and how the others learn it.

#[path = "support/report.rs"]
mod report;

use catalog::endpoint::Run;
use member::identity::Identity;
use member::peer::Peer;
use node::hosted::control::assignment::{Assignment, ENGINES_PER_POLLER, EngineCounts};
use node::hosted::control::copy::Scope::{self, All, Own};
use node::hosted::control::loads::Loads;
use report::report;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Engines of a zone with enough nodes.
const LARGE_ZONE_ENGINES: usize = 1000;

fn peer(number: u8, zone: &str) -> Peer {
    let identity = Identity {
        name: format!("node-{number}"),
        addr: ([10, 0, 0, number], 80).into(),
        zone: zone.to_owned(),
        region: "r".to_owned(),
        incarnation: 1,
    };
    Peer::new(identity, Duration::ZERO)
}

fn run(zone: &str, number: usize) -> Run {
    Run {
        id: format!("{zone}-{number}"),
        started_at: 1,
    }
}

fn assignments(peers: &[Peer], engines: &EngineCounts<'_>) -> Vec<Assignment> {
    let assign = |p: &Peer| {
        Assignment::of(
            Duration::ZERO,
            p.id,
            &p.identity.zone,
            peers.iter(),
            engines,
        )
    };
    peers.iter().map(assign).collect()
}

/// Numbers of the nodes that ask each engine of a zone.
fn pollers(assignments: &[Assignment], zone: &str, count: usize) -> Vec<usize> {
    let polls = |p: &Assignment, n| p.polls(zone, &run(zone, n));
    let pollers = |n| {
        let mut polling = (0..assignments.len()).filter(|&p| polls(&assignments[p], n));
        let poller = polling.next().expect("an engine that nobody asks");
        assert_eq!(polling.next(), None, "engine {n} of {zone}");
        poller
    };
    (0..count).map(pollers).collect()
}

// Nodes choose chains by what engines report. With one node to ask all engines of a zone, the small
// node that was the first of 33 spent its time on questions to 333 engines, and answered its own
// callers late. An engine that nobody asks would look empty to all.
#[test]
fn each_engine_is_polled_by_one_node_and_polling_is_spread() {
    let zone = |n| if n < 40 { "a" } else { "b" };
    let peers: Vec<Peer> = (0..44).map(|n| peer(n, zone(n))).collect();
    let engines = EngineCounts::from([("a", LARGE_ZONE_ENGINES), ("b", 30), ("far", 5)]);
    let assignments = assignments(&peers, &engines);
    let mut engines_per_poller = vec![0; assignments.len()];
    for poller in pollers(&assignments, "a", LARGE_ZONE_ENGINES) {
        engines_per_poller[poller] += 1;
    }
    assert!(
        engines_per_poller
            .iter()
            .all(|&n| n <= ENGINES_PER_POLLER * 2),
        "{engines_per_poller:?}"
    );
    let mut few = pollers(&assignments, "b", 30);
    few.dedup();
    assert_eq!(few.len(), 1, "one node is enough for these");
    pollers(&assignments, "far", 5);
    // Those that read for their zone know whom to ask, and ask nobody twice.
    let peers_to_poll = assignments[0].pollers.len();
    assert!((21..=23).contains(&peers_to_poll), "{peers_to_poll}");
}

// A new catalog, a key that is withdrawn and an endpoint that leaves reach most nodes through those
// that read the store for their zone. Asked by a hundred others, two of them fall seconds behind.
#[test]
fn a_node_reads_the_store_for_at_most_sixteen_nodes() {
    for nodes in [1_u8, 3, 28, 33, 100] {
        let peers: Vec<Peer> = (0..nodes).map(|n| peer(n, "a")).collect();
        let assignments = assignments(&peers, &EngineCounts::new());
        let readers = assignments.iter().filter(|p| p.reads).count();
        assert!(readers >= 2.min(peers.len()), "{readers} of {nodes}");
        assert!(readers * 16 >= peers.len(), "{readers} of {nodes}");
        let known = assignments.iter().filter(|p| !p.reads);
        assert!(known.into_iter().all(|p| p.readers.len() == readers));
    }
}

// A node takes from another one what it learned, several times a second. Whole lists of thousands
// of engines would fill the link of a small node; a change that is left out would leave it with a
// wrong idea of an engine, most of all after the other one started anew with an empty list.
#[test]
fn a_peer_gets_changes_since_its_last_request() {
    let addr: SocketAddr = ([10, 0, 0, 1], 80).into();
    let (start, ms) = (Instant::now(), Duration::from_millis);
    let mut source = Loads::default();
    for number in 0..100 {
        source.record(start, &format!("e{number}"), &report(1.0));
    }
    let mut receiver = Loads::default();
    let whole = source
        .encode(start, All, receiver.known_change(addr, All))
        .unwrap();
    assert!(receiver.merge(start, addr, All, &whole).unwrap());
    assert_eq!(receiver.view(start, start).len(), 100);

    let later = start + ms(400);
    source.record(later, "e7", &report(2.0));
    let change = source
        .encode(later, All, receiver.known_change(addr, All))
        .unwrap();
    assert!(change.len() * 20 < whole.len(), "{}", change.len());
    assert!(receiver.merge(later, addr, All, &change).unwrap());
    assert_eq!(receiver.view(later, start)["e7"].used, 2.0);
    assert_eq!(receiver.view(later, start)["e8"].used, 1.0);

    let restarted = start + ms(900);
    let mut source = Loads::default();
    source.record(restarted, "e8", &report(3.0));
    let all = source
        .encode(restarted, All, receiver.known_change(addr, All))
        .unwrap();
    assert!(receiver.merge(restarted, addr, All, &all).unwrap());
    assert_eq!(receiver.view(restarted, start)["e8"].used, 3.0);
    let nothing = source
        .encode(restarted, All, receiver.known_change(addr, All))
        .unwrap();
    assert!(!receiver.merge(restarted, addr, All, &nothing).unwrap());

    // One that asks several takes from each what it asked engines for itself.
    let second = receiver_of(&receiver, restarted, Own);
    assert!(second.view(restarted, start).is_empty());
    let second = receiver_of(&receiver, restarted, All);
    assert_eq!(second.view(restarted, start).len(), 100);
}

/// What a node knows that asked another one.
fn receiver_of(source: &Loads, now: Instant, scope: Scope) -> Loads {
    let addr: SocketAddr = ([10, 0, 0, 2], 80).into();
    let mut receiver = Loads::default();
    let bytes = source.encode(now, scope, 0).unwrap();
    receiver.merge(now, addr, scope, &bytes).unwrap();
    receiver
}
