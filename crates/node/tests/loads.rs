//! Assignment of store readers and engine pollers, and exchange of loads between nodes.

#[path = "support/report.rs"]
mod report;

use adapter::report::Report;
use catalog::endpoint::Run;
use member::identity::Identity;
use member::peer::Peer;
use node::hosted::control::assignment::{Assignment, ENGINES_PER_POLLER, EngineCounts};
use node::hosted::control::copy::Scope::{self, All, Own};
use node::hosted::control::loads::Loads;
use report::report;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Engines of a zone that has enough nodes for all its pollers.
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
            &BTreeSet::new(),
            engines,
        )
    };
    peers.iter().map(assign).collect()
}

/// Returns the number of the node that polls each engine of a zone.
fn pollers(assignments: &[Assignment], zone: &str, count: usize) -> Vec<usize> {
    let polls = |p: &Assignment, n| p.polls(zone, &run(zone, n));
    let pollers = |n| {
        let mut polling = (0..assignments.len()).filter(|&p| polls(&assignments[p], n));
        let poller = polling.next().expect("an engine that no node polls");
        assert_eq!(polling.next(), None, "engine {n} of {zone}");
        poller
    };
    (0..count).map(pollers).collect()
}

// Nodes select chains by the loads that engines report. If one node polled all engines of a zone, a
// small node that is the first of 33 would spend its time on polls of 333 engines and serve its own
// callers late. An engine that no node polls would look idle to all nodes.
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
    assert_eq!(few.len(), 1, "one node polls all engines of a small zone");
    pollers(&assignments, "far", 5);
    // A reader knows all pollers, each of them once.
    let peers_to_poll = assignments[0].pollers.len();
    assert!((21..=23).contains(&peers_to_poll), "{peers_to_poll}");
}

// A new catalog, a revoked key and a leaving endpoint reach most nodes through the readers of their
// zone. Two readers that serve a hundred nodes fall seconds behind.
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

// A node requests loads from a peer several times a second. Complete lists of thousands of engines
// would fill the link of a small node, so only changes are sent. A change that is left out would
// leave the node with an outdated load, above all after the peer has restarted with an empty list.
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

    // With `Own`, a peer gets only the loads that the node polled itself, which are none here.
    let second = receiver_of(&receiver, restarted, Own);
    assert!(second.view(restarted, start).is_empty());
    let second = receiver_of(&receiver, restarted, All);
    assert_eq!(second.view(restarted, start).len(), 100);
}

/// Returns the loads of a node that has requested them from `source`.
fn receiver_of(source: &Loads, now: Instant, scope: Scope) -> Loads {
    let addr: SocketAddr = ([10, 0, 0, 2], 80).into();
    let mut receiver = Loads::default();
    let bytes = source.encode(now, scope, 0).unwrap();
    receiver.merge(now, addr, scope, &bytes).unwrap();
    receiver
}

// Guards against an engine's announcement in a status report that later reports undo, and against
// one that is kept after the engine has ended.
#[test]
fn a_leaving_engine_is_known_until_its_reports_end() {
    let (start, secs) = (Instant::now(), Duration::from_secs);
    let mut loads = Loads::default();
    let leaving = Report {
        leaving: true,
        ..report(1.0)
    };
    loads.record(start, "e1", &leaving);
    loads.record(start, "e2", &report(1.0));
    loads.record(start + secs(1), "e1", &report(2.0));
    loads.expire(start + secs(2));
    assert_eq!(loads.leaving(), ["e1".to_owned()].into());
    loads.expire(start + secs(60));
    assert!(loads.leaving().is_empty());
}

// Guards against loads of a peer that are out of bounds: an infinite slowdown ends the process when an
// answer moves to that engine. The loads beside it are taken.
#[test]
fn loads_of_a_peer_that_are_out_of_bounds_are_left_out() {
    let (now, peer): (_, SocketAddr) = (Instant::now(), ([10, 0, 0, 1], 80).into());
    let odd = [
        |r: &mut Report| r.slowdown = 1e300,
        |r: &mut Report| r.slowdown = f64::NAN,
        |r: &mut Report| r.slowdown = -1.0,
        |r: &mut Report| r.kv_used = 1e300,
        |r: &mut Report| r.kv_capacity = -1.0,
        |r: &mut Report| r.span.to = u32::MAX,
        |r: &mut Report| r.span.from = 5,
    ];
    let mut sender = Loads::default();
    sender.record(now, "sound@1", &report(1.0));
    for (number, change) in odd.iter().enumerate() {
        let mut report = report(1.0);
        change(&mut report);
        sender.record(now, &format!("odd-{number}@1"), &report);
    }
    let mut receiver = Loads::default();
    let bytes = sender.encode(now, Own, 0).unwrap();
    assert!(receiver.merge(now, peer, Own, &bytes).unwrap());
    let known = receiver.view(now, now);
    assert_eq!(known.keys().collect::<Vec<_>>(), ["sound@1"]);
}
