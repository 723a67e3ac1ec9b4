//! Endpoints that limit the requests that they take from all nodes together.

mod support;

use http::StatusCode;
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::caller::{request, send};
use support::server::{Behavior, Server};
use support::{ALLOWANCE, Node, plain, run, start, view};

/// Number of nodes that share a limit.
const NODES: usize = 7;
/// Time between two requests of all nodes: 7 a second.
const INTERVAL: Duration = Duration::from_millis(143);
/// Time in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time between two requests of the callers.
const PAUSE: Duration = Duration::from_millis(15);

fn answer() -> Behavior {
    Behavior::Answer(200, "x")
}

/// Starts one of several nodes, with these endpoints.
async fn start_one(servers: &[&Server]) -> Node {
    let node = start(ALLOWANCE).await;
    let mut shared = view(servers.iter().map(|s| plain(s.addr)).collect());
    shared.fleet.nodes = NODES;
    shared.fleet.budget_nodes = NODES;
    node.shared_view.store(Some(Arc::new(shared)));
    node
}

/// Sends requests for some time, and returns the number of those that were answered.
async fn send_for(node: &Node, time: Duration) -> usize {
    let started = Instant::now();
    let mut answered = 0;
    while started.elapsed() < time {
        let response = send(node.addr, request("/safe/x")).await;
        answered += usize::from(response.status == StatusCode::OK);
        tokio::time::sleep(PAUSE).await;
    }
    answered
}

// Guards against an endpoint in need that gets several times the requests that it asked for, since no
// node heeds its limit, or each takes all of it.
#[test]
fn a_node_keeps_to_its_part_of_a_limit() {
    run(async {
        let limited = Server::start(vec![answer().limited(INTERVAL)]).await;
        let other = Server::start(vec![answer()]).await;
        let node = start_one(&[&limited, &other]).await;
        while limited.heads().is_empty() {
            send(node.addr, request("/safe/x")).await;
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
        let before = limited.heads().len();
        let answered = send_for(&node, WINDOW).await;
        assert!(answered > 100, "{answered} answers");
        let got = limited.heads().len() - before;
        let allowed = 1.5 * WINDOW.as_secs_f64() / INTERVAL.as_secs_f64() + 5.0;
        let part = allowed / NODES as f64;
        assert!(got as f64 <= part, "{got} requests, {part:.1} allowed");
    });
}
