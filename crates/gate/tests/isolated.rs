//! Nodes that have lost their paths to endpoints.

mod support;

use http::StatusCode;
use std::net::SocketAddr;
use std::time::Duration;
use steer::transition::Transition;
use support::caller::{ids, request, send};
use support::isolation::{add_relay, isolate, isolations, refused_node};
use support::server::{Behavior, Server};
use support::{LAYERS, Node, node, plain, run, stage};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

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

fn failing(node: &Node) -> usize {
    let transitions = node.transitions.borrow();
    let failing = transitions
        .iter()
        .filter(|t| matches!(t, Transition::Down(_)));
    failing.count()
}

async fn connected_node(behavior: Behavior) -> (Node, Server) {
    let server = Server::start(vec![behavior]).await;
    (node(vec![plain(server.addr)]).await, server)
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

/// Starts an isolated node with another node as relay, which is isolated from `isolated_from`.
async fn isolated_beside(relay: &Node, isolated_from: &[&str]) -> Node {
    let node = refused_node().await;
    isolate(&node, "/safe/x").await;
    add_relay(&node, relay.addr, isolated_from);
    node
}

// Guards against a relay that withholds the key from the other node, or shows it to the endpoint.
#[test]
fn another_node_serves_the_requests_of_an_isolated_one() {
    run(async {
        let (other, server) = connected_node(Behavior::Answer(200, "x")).await;
        let node = isolated_beside(&other, &[]).await;
        for path in ["/safe/x", "/once/x"] {
            let response = send(node.addr, request(path)).await;
            assert_eq!(response.status, StatusCode::OK);
            assert_eq!(response.body, "x");
            assert!(response.headers.contains_key("seal"));
        }
        for head in server.heads() {
            assert!(head.contains("team: north"), "{head}");
            assert!(
                !head.contains("key:") && !head.contains("relayed"),
                "{head}"
            );
        }
    });
}

// Guards against streams that end as complete though the other node broke them off.
#[test]
fn a_relayed_stream_is_passed_on_to_its_end() {
    run(async {
        for (behavior, complete) in [
            (Behavior::Events(1, 4), true),
            (Behavior::EventsThenReset(1, 3), false),
        ] {
            let server = Server::start(vec![behavior]).await;
            let other = node(vec![stage(server.addr, 0, LAYERS)]).await;
            let hole = [Hole::open().await, Hole::open().await];
            let stages = hole.iter().map(|h| stage(h.addr(), 0, LAYERS));
            let node = node(stages.collect()).await;
            isolate(&node, "/chat/x").await;
            add_relay(&node, other.addr, &[]);
            let response = send(node.addr, request("/chat/x")).await;
            assert_eq!(response.status, StatusCode::OK);
            assert_eq!(response.complete, complete);
            assert_eq!(ids(&response.body)[..3], [1, 2, 3]);
        }
    });
}

// Guards against requests that circle between nodes none of which reaches an endpoint, and against a
// refusal that is held back.
#[test]
fn isolated_nodes_do_not_relay_in_a_circle() {
    run(async {
        let (first, second) = (refused_node().await, refused_node().await);
        for node in [&first, &second] {
            isolate(node, "/safe/x").await;
        }
        add_relay(&first, second.addr, &[]);
        add_relay(&second, first.addr, &[]);
        let response = send(first.addr, request("/safe/x")).await;
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(response.headers.contains_key("retry-after"));
    });
}

// Guards against a relay to a node that is isolated as well.
#[test]
fn a_node_that_is_isolated_as_well_is_no_relay() {
    run(async {
        let (other, server) = connected_node(Behavior::Answer(200, "x")).await;
        let node = isolated_beside(&other, &["plain"]).await;
        let response = send(node.addr, request("/safe/x")).await;
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(server.heads().is_empty());
    });
}

// Guards against a request that may run once at most and is said not to have run, or is sent again,
// after the connection to the other node broke.
#[test]
fn a_broken_relay_leaves_the_outcome_unknown() {
    run(async {
        let broken = Server::start(vec![Behavior::Reset]).await;
        let node = refused_node().await;
        isolate(&node, "/once/x").await;
        for _ in 0..2 {
            add_relay(&node, broken.addr, &[]);
        }
        let response = send(node.addr, request("/once/x")).await;
        assert_eq!(response.status, StatusCode::BAD_GATEWAY);
        assert_eq!(broken.heads().len(), 1);
    });
}

// Guards against an isolated node that cuts off what still works: open connections may live on while
// new ones are refused.
#[test]
fn an_open_stream_goes_on_while_new_connections_are_refused() {
    run(async {
        let pause = Duration::from_millis(800);
        let slow = Behavior::EventsWithPause(1..=2, pause, 3..=4);
        let servers = [
            Server::start(vec![slow.clone()]).await,
            Server::start(vec![slow]).await,
        ];
        let stages = servers.iter().map(|s| stage(s.addr, 0, LAYERS));
        let node = node(stages.collect()).await;
        let stream = send(node.addr, request("/chat/x"));
        let partition = async {
            while servers.iter().all(|s| s.heads().is_empty()) {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            for server in &servers {
                server.refuse_new().await;
            }
            isolate(&node, "/chat/x").await;
        };
        let (response, ()) = futures::join!(stream, partition);
        assert!(response.complete);
        assert_eq!(ids(&response.body), [1, 2, 3, 4]);
    });
}

// Guards against a refusal of a leaving node that is passed on to the caller although a third node can
// take the request.
#[test]
fn a_request_that_a_leaving_node_refuses_is_relayed_to_another() {
    run(async {
        let server = Server::start(vec![Behavior::Answer(200, "x")]).await;
        let leaving = node(vec![plain(server.addr)]).await;
        let staying = node(vec![plain(server.addr)]).await;
        leaving.worker.close();
        for path in ["/safe/x", "/once/x"] {
            for _ in 0..8 {
                let node = refused_node().await;
                isolate(&node, path).await;
                add_relay(&node, leaving.addr, &[]);
                add_relay(&node, staying.addr, &[]);
                let response = send(node.addr, request(path)).await;
                assert_eq!(response.status, StatusCode::OK);
            }
        }
        assert_eq!(server.heads().len(), 16);
    });
}
