//! Nodes that have lost their paths to endpoints.

mod support;

use std::net::SocketAddr;
use std::time::Duration;
use steer::transition::Transition;
use support::caller::{request, send};
use support::server::{Behavior, Server};
use support::{Node, node, plain, run};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Time within which a node must know that it is isolated.
const DETECTION_TIME: Duration = Duration::from_secs(2);

/// An address that accepts no connections and does not refuse them, as behind a partition.
struct Hole {
    listener: TcpListener,
    /// Connections that fill the listener's queue.
    _queue: Vec<TcpStream>,
}

impl Hole {
    async fn open() -> Self {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener = socket.listen(1).unwrap();
        let addr = listener.local_addr().unwrap();
        let mut queue = Vec::new();
        let filled = Duration::from_millis(100);
        while let Ok(stream) = tokio::time::timeout(filled, TcpStream::connect(addr)).await {
            queue.push(stream.unwrap());
        }
        Self {
            listener,
            _queue: queue,
        }
    }

    fn addr(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }
}

/// Returns the reports of isolation that a node made.
fn isolations(node: &Node) -> Vec<bool> {
    let transitions = node.transitions.borrow();
    let isolations = transitions.iter().filter_map(|t| match t {
        Transition::Isolation { isolated, .. } => Some(*isolated),
        _ => None,
    });
    isolations.collect()
}

fn failing(node: &Node) -> usize {
    let transitions = node.transitions.borrow();
    let failing = transitions
        .iter()
        .filter(|t| matches!(t, Transition::Down(_)));
    failing.count()
}

/// Sends requests until the node knows that it is isolated.
async fn isolate(node: &Node, path: &str) {
    let isolated = async {
        while isolations(node).is_empty() {
            send(node.addr, request(path)).await;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let isolated = tokio::time::timeout(DETECTION_TIME, isolated).await;
    isolated.expect("the node does not know that it is isolated");
}

/// Starts a node whose plain endpoints refuse connections.
async fn refused_node() -> Node {
    let mut endpoints = Vec::new();
    for _ in 0..3 {
        let server = Server::start(vec![Behavior::Silent]).await;
        server.crash().await;
        endpoints.push(plain(server.addr));
    }
    node(endpoints).await
}

// Guards against reports of failing endpoints by a node that reaches none, and against control that
// forgets the isolation while it lasts.
#[test]
fn an_isolated_node_reports_itself_and_no_endpoint() {
    run(async {
        let node = refused_node().await;
        isolate(&node, "/safe/x").await;
        for _ in 0..10 {
            send(node.addr, request("/safe/x")).await;
        }
        let known = isolations(&node).len();
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert!(isolations(&node).len() >= known + 2, "{known}");
        assert_eq!(failing(&node), 0);
    });
}

// Guards against a node that can't tell an endpoint that ended from lost paths, and no longer reports
// it.
#[test]
fn a_failing_endpoint_beside_others_is_reported() {
    run(async {
        let sound = Server::start(vec![Behavior::Answer(200, "x")]).await;
        let ended = Server::start(vec![Behavior::Silent]).await;
        ended.crash().await;
        let node = node(vec![plain(sound.addr), plain(ended.addr)]).await;
        let reported = async {
            while failing(&node) == 0 {
                send(node.addr, request("/safe/x")).await;
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let reported = tokio::time::timeout(Duration::from_secs(5), reported).await;
        reported.expect("the endpoint is not reported");
        assert!(isolations(&node).is_empty());
    });
}

// Guards against a partition that is noticed only where connections are refused.
#[test]
fn a_node_whose_connections_hang_knows_that_it_is_isolated() {
    run(async {
        let holes = [Hole::open().await, Hole::open().await, Hole::open().await];
        let node = node(holes.iter().map(|h| plain(h.addr())).collect()).await;
        isolate(&node, "/safe/x").await;
        assert_eq!(failing(&node), 0);
    });
}
