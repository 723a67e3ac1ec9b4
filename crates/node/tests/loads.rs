//! Which node reads the store, which one asks which engine for its load, and how the others learn it.

#[path = "support/report.rs"]
mod report;

use catalog::endpoint::Run;
use member::identity::Identity;
use member::peer::Peer;
use node::hosted::control::copy::Scope::{self, All, Own};
use node::hosted::control::loads::Loads;
use node::hosted::control::readers::{ASKED, Engines, Part};
use report::report;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Engines of a zone with enough nodes.
const MANY: usize = 1000;

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

fn parts(peers: &[Peer], engines: &Engines<'_>) -> Vec<Part> {
    let part = |p: &Peer| {
        Part::of(
            Duration::ZERO,
            p.id,
            &p.identity.zone,
            peers.iter(),
            engines,
        )
    };
    peers.iter().map(part).collect()
}

/// Numbers of the nodes that ask each engine of a zone.
fn askers(parts: &[Part], zone: &str, count: usize) -> Vec<usize> {
    let asks = |p: &Part, n| p.asks(zone, &run(zone, n));
    let askers = |n| {
        let mut asking = (0..parts.len()).filter(|&p| asks(&parts[p], n));
        let asker = asking.next().expect("an engine that nobody asks");
        assert_eq!(asking.next(), None, "engine {n} of {zone}");
        asker
    };
    (0..count).map(askers).collect()
}

// Nodes choose chains by what engines report. With one node to ask all engines of a zone, the small
// node that was the first of 33 spent its time on questions to 333 engines, and answered its own
// callers late. An engine that nobody asks would look empty to all.
#[test]
fn each_engine_is_asked_by_one_node_and_many_by_many() {
    let zone = |n| if n < 40 { "a" } else { "b" };
    let peers: Vec<Peer> = (0..44).map(|n| peer(n, zone(n))).collect();
    let engines = Engines::from([("a", MANY), ("b", 30), ("far", 5)]);
    let parts = parts(&peers, &engines);
    let mut each = vec![0; parts.len()];
    for asker in askers(&parts, "a", MANY) {
        each[asker] += 1;
    }
    assert!(each.iter().all(|&n| n <= ASKED * 2), "{each:?}");
    let mut few = askers(&parts, "b", 30);
    few.dedup();
    assert_eq!(few.len(), 1, "one node is enough for these");
    askers(&parts, "far", 5);
    // Those that read for their zone know whom to ask, and ask nobody twice.
    let asking = parts[0].pollers.len();
    assert!((21..=23).contains(&asking), "{asking}");
}

// A new catalog, a key that is withdrawn and an endpoint that leaves reach most nodes through those
// that read the store for their zone. Asked by a hundred others, two of them fall seconds behind.
#[test]
fn a_node_reads_the_store_for_sixteen_at_the_most() {
    for nodes in [1_u8, 3, 28, 33, 100] {
        let peers: Vec<Peer> = (0..nodes).map(|n| peer(n, "a")).collect();
        let parts = parts(&peers, &Engines::new());
        let readers = parts.iter().filter(|p| p.reads).count();
        assert!(readers >= 2.min(peers.len()), "{readers} of {nodes}");
        assert!(readers * 16 >= peers.len(), "{readers} of {nodes}");
        let known = parts.iter().filter(|p| !p.reads);
        assert!(known.into_iter().all(|p| p.readers.len() == readers));
    }
}

// A node takes from another one what it learned, several times a second. Whole lists of thousands
// of engines would fill the link of a small node; a change that is left out would leave it with a
// wrong idea of an engine, most of all after the other one started anew with an empty list.
#[test]
fn a_peer_gets_what_changed_since_it_was_last_told() {
    let addr: SocketAddr = ([10, 0, 0, 1], 80).into();
    let (start, ms) = (Instant::now(), Duration::from_millis);
    let mut giver = Loads::default();
    for number in 0..100 {
        giver.reported(start, &format!("e{number}"), &report(1.0));
    }
    let mut taker = Loads::default();
    let whole = giver.encode(start, All, taker.heard(addr, All)).unwrap();
    assert!(taker.take(start, addr, All, &whole).unwrap());
    assert_eq!(taker.view(start, start).len(), 100);

    let later = start + ms(400);
    giver.reported(later, "e7", &report(2.0));
    let change = giver.encode(later, All, taker.heard(addr, All)).unwrap();
    assert!(change.len() * 20 < whole.len(), "{}", change.len());
    assert!(taker.take(later, addr, All, &change).unwrap());
    assert_eq!(taker.view(later, start)["e7"].used, 2.0);
    assert_eq!(taker.view(later, start)["e8"].used, 1.0);

    let anew = start + ms(900);
    let mut giver = Loads::default();
    giver.reported(anew, "e8", &report(3.0));
    let all = giver.encode(anew, All, taker.heard(addr, All)).unwrap();
    assert!(taker.take(anew, addr, All, &all).unwrap());
    assert_eq!(taker.view(anew, start)["e8"].used, 3.0);
    let nothing = giver.encode(anew, All, taker.heard(addr, All)).unwrap();
    assert!(!taker.take(anew, addr, All, &nothing).unwrap());

    // One that asks several takes from each what it asked engines for itself.
    let second = told_by(&taker, anew, Own);
    assert!(second.view(anew, start).is_empty());
    let second = told_by(&taker, anew, All);
    assert_eq!(second.view(anew, start).len(), 100);
}

/// What a node knows that asked another one.
fn told_by(giver: &Loads, now: Instant, scope: Scope) -> Loads {
    let addr: SocketAddr = ([10, 0, 0, 2], 80).into();
    let mut taker = Loads::default();
    let bytes = giver.encode(now, scope, 0).unwrap();
    taker.take(now, addr, scope, &bytes).unwrap();
    taker
}
