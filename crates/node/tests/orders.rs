//! Orders to many endpoints at once, and moves of endpoints that hold layers.

#[path = "../../steer/tests/support/mod.rs"]
mod support;

use catalog::endpoint::{Endpoint, Run, Span, State};
use journal::Journal;
use member::identity::Identity;
use member::peer::Peer;
use memory::budget::Budget;
use node::hosted::control::assignment::{Assignment, ENDPOINTS_PER_ORDERER, EngineCounts};
use node::hosted::control::input::Input;
use node::hosted::control::orders::{MAX_CONCURRENT_ORDERS, MOVE_NOTICE, Orders};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use support::{catalog, endpoint};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Number of endpoints without layers.
const ENDPOINTS: usize = 300;

/// Returns an endpoint without layers. All endpoints of the fleet may share one address.
fn empty(number: usize, addr: SocketAddr) -> Endpoint {
    Endpoint {
        run: Run {
            id: format!("e{number}"),
            started_at: 1,
        },
        addr,
        ..endpoint(0, "a", "fast", 0, 0)
    }
}

fn node(number: usize) -> Peer {
    let identity = Identity {
        name: format!("node-{number}"),
        addr: ([10, 0, (number >> 8) as u8, number as u8], 80).into(),
        zone: "a".to_owned(),
        region: "r".to_owned(),
        incarnation: 1,
    };
    Peer::new(identity, Duration::ZERO)
}

/// Returns the assignments of all nodes of a fleet with one zone.
fn assignments(nodes: usize) -> Vec<Assignment> {
    let peers: Vec<Peer> = (0..nodes).map(node).collect();
    let engines = EngineCounts::from([("a", ENDPOINTS)]);
    let assign = |p: &Peer| {
        Assignment::of(
            Duration::ZERO,
            p.id,
            "a",
            peers.iter(),
            &BTreeSet::new(),
            &engines,
        )
    };
    peers.iter().map(assign).collect()
}

/// Returns the assignment of a node without peers.
fn sole_assignment() -> Assignment {
    assignments(1).remove(0)
}

/// Accepts and counts connections, and keeps them open without ever responding.
async fn unresponsive(listener: TcpListener, count: Arc<AtomicUsize>) {
    let mut kept = Vec::new();
    while let Ok((stream, _)) = listener.accept().await {
        kept.push(stream);
        count.fetch_add(1, Ordering::Relaxed);
    }
}

// A fleet starts without layers, and requests are refused until layers are loaded. A small node
// that sends all orders at once completes none of them before they time out, and then repeats them
// all. So the number of orders in flight is bounded, and further orders follow as others end.
#[tokio::test]
async fn concurrent_orders_are_bounded() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let count = Arc::new(AtomicUsize::new(0));
    let accepts = tokio::spawn(unresponsive(listener, count.clone()));
    let endpoints: Vec<Endpoint> = (0..ENDPOINTS).map(|n| empty(n, addr)).collect();
    let (journal, _lines) = Journal::new(1024);
    let (inputs, mut ended) = mpsc::channel(ENDPOINTS);
    let mut orders = Orders::new(journal, inputs, Duration::ZERO, Budget::new(1 << 20, 0));
    let (assignment, catalog) = (sole_assignment(), catalog());
    orders.step(Instant::now(), &assignment, &catalog, endpoints.iter());
    orders.step(Instant::now(), &assignment, &catalog, endpoints.iter());
    let first = ended.recv().await;
    assert_eq!(count.load(Ordering::Relaxed), MAX_CONCURRENT_ORDERS);
    let Some(Input::OrderEnded(order, attempt)) = first else {
        panic!("expected the outcome of an order, with or without a response");
    };
    assert_eq!(orders.in_flight(), MAX_CONCURRENT_ORDERS);
    orders.finish(Instant::now(), order, &attempt);
    assert_eq!(orders.in_flight(), MAX_CONCURRENT_ORDERS - 1);
    orders.step(Instant::now(), &assignment, &catalog, endpoints.iter());
    assert_eq!(orders.in_flight(), MAX_CONCURRENT_ORDERS);
    accepts.abort();
}

// Guards against a fleet that stays without layers for minutes: planning for 3,000 endpoints is
// costly and throttled, so all orders of one plan must be sent without another plan.
#[tokio::test]
async fn one_plan_is_carried_out_completely() {
    let closed = SocketAddr::from(([127, 0, 0, 1], 1));
    let endpoints: Vec<Endpoint> = (0..ENDPOINTS).map(|n| empty(n, closed)).collect();
    let (journal, _lines) = Journal::new(1024);
    let (inputs, mut ended) = mpsc::channel(ENDPOINTS);
    let mut orders = Orders::new(journal, inputs, Duration::ZERO, Budget::new(1 << 20, 0));
    orders.step(
        Instant::now(),
        &sole_assignment(),
        &catalog(),
        endpoints.iter(),
    );
    let mut given = BTreeSet::new();
    while orders.in_flight() > 0 {
        let Some(Input::OrderEnded(order, attempt)) = ended.recv().await else {
            panic!("expected the outcome of an order, with or without a response");
        };
        given.insert(order.run.clone());
        orders.finish(Instant::now(), order, &attempt);
        orders.send_planned(Instant::now());
        assert!(orders.in_flight() <= MAX_CONCURRENT_ORDERS);
    }
    assert_eq!(given.len(), ENDPOINTS);
}

// Guards against a fleet that has no layers yet when its callers arrive: a single node with an
// eighth of a core sends about fifty orders a second, so that of 2,980 endpoints 565 have theirs
// after 14 s. Also guards against two nodes that move endpoints which hold layers: each could move
// one of the last two copies.
#[test]
fn orders_to_a_large_fleet_are_shared_by_several_nodes() {
    let runs: Vec<Run> = (0..ENDPOINTS)
        .map(|n| empty(n, ([127, 0, 0, 1], 1).into()).run)
        .collect();
    for nodes in [1, 2, 40] {
        let assignments = assignments(nodes);
        let givers = assignments.iter().filter(|p| p.gives_orders()).count();
        assert_eq!(givers, ENDPOINTS.div_ceil(ENDPOINTS_PER_ORDERER).min(nodes));
        for run in &runs {
            let fill = assignments
                .iter()
                .filter(|p| p.may_order(run, Span::default()));
            assert_eq!(fill.count(), 1, "{nodes} nodes, {run}");
            let held = Span { from: 0, to: 4 };
            let mut moves = assignments.iter().filter(|p| p.may_order(run, held));
            assert!(
                moves.next().is_some_and(|p| p.first),
                "{nodes} nodes, {run}"
            );
            assert!(moves.next().is_none(), "{nodes} nodes, {run}");
        }
    }
}

/// Returns endpoints of which none holds the last layers and two hold the first ones.
fn with_missing_layers() -> Vec<Endpoint> {
    let closed = SocketAddr::from(([127, 0, 0, 1], 1));
    let holds = |(number, (from, to))| Endpoint {
        span: Span { from, to },
        ..empty(number, closed)
    };
    let spans = [(0, 2), (0, 2), (2, 4), (4, 6)];
    spans.into_iter().enumerate().map(holds).collect()
}

/// Returns the orders of a node that has announced one move among these endpoints and not sent it
/// yet, and the run to be moved.
fn announced(start: Instant, endpoints: &[Endpoint]) -> (Orders, Run) {
    let (journal, _lines) = Journal::new(64);
    let (inputs, _taken) = mpsc::channel(64);
    let mut orders = Orders::new(journal, inputs, Duration::ZERO, Budget::new(1 << 20, 0));
    orders.step(start, &sole_assignment(), &catalog(), endpoints.iter());
    let moving = orders.take_moving();
    assert_eq!(moving.len(), 1, "{moving:?}");
    assert_eq!(orders.in_flight(), 0);
    (orders, moving[0].clone())
}

// Guards against a move that removes a zone's last copy of a layer because the other holder has
// failed between the announcement and the order.
#[tokio::test(start_paused = true)]
async fn a_move_that_would_remove_a_last_copy_is_dropped() {
    let endpoints = with_missing_layers();
    let start = Instant::now();
    let (mut orders, _) = announced(start, &endpoints);
    let left = endpoints.iter().skip(1);
    orders.step(
        start + MOVE_NOTICE / 2,
        &sole_assignment(),
        &catalog(),
        left.clone(),
    );
    let left = endpoints.iter().take(1).chain(endpoints.iter().skip(2));
    let (mut other, _) = announced(start, &endpoints);
    other.step(
        start + MOVE_NOTICE / 2,
        &sole_assignment(),
        &catalog(),
        left,
    );
    // Whichever of the two was to be moved, its move is dropped once the other one is gone.
    for orders in [&mut orders, &mut other] {
        orders.send_planned(start + MOVE_NOTICE * 2);
        assert_eq!(orders.in_flight(), 0);
    }
}

// Guards against an order to a draining endpoint, which would release layers that its requests in
// progress still need.
#[tokio::test(start_paused = true)]
async fn a_move_of_an_endpoint_that_drains_is_dropped() {
    let mut endpoints = with_missing_layers();
    let third = Endpoint {
        span: endpoints[0].span,
        ..empty(endpoints.len(), endpoints[0].addr)
    };
    endpoints.push(third);
    let (assignment, catalog) = (sole_assignment(), catalog());
    let start = Instant::now();
    let (mut orders, moving) = announced(start, &endpoints);
    let moved = endpoints.iter_mut().find(|e| e.run == moving);
    moved.expect("an endpoint of the fleet").state = State::Draining;
    let half = start + MOVE_NOTICE / 2;
    orders.step(half, &assignment, &catalog, endpoints.iter());
    orders.send_planned(start + MOVE_NOTICE);
    assert_eq!(orders.in_flight(), 0);
    // Another endpoint takes its place, after an announcement of its own.
    let others = orders.take_moving();
    assert_eq!(others.len(), 1, "{others:?}");
    assert_ne!(others, [moving]);
    orders.send_planned(half + MOVE_NOTICE);
    assert_eq!(orders.in_flight(), 1);
}

// Guards against requests that an endpoint refuses because it has begun to release its layers. If
// each of 195 nodes finds that out by itself, there are 30 refusals per moved endpoint. So the move
// is announced to the other nodes first, and the order is sent when they know of it.
#[tokio::test(start_paused = true)]
async fn a_move_is_announced_before_it_is_ordered() {
    let endpoints = with_missing_layers();
    let (assignment, catalog) = (sole_assignment(), catalog());
    let start = Instant::now();
    let (mut orders, _) = announced(start, &endpoints);
    // A plan made meanwhile counts the move as sent.
    orders.step(
        start + MOVE_NOTICE / 2,
        &assignment,
        &catalog,
        endpoints.iter(),
    );
    assert_eq!((orders.take_moving().len(), orders.in_flight()), (0, 0));
    orders.send_planned(start + MOVE_NOTICE);
    assert_eq!(orders.in_flight(), 1);
}
