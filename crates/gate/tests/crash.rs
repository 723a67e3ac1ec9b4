//! Requests that crash the endpoints that run them.

mod support;

use http::StatusCode;
use std::time::Duration;
use support::caller::{Received, request, send};
use support::server::{Behavior, Server};
use support::{Node, endpoint_for, node, run};

/// Maximum number of times that a request which crashes endpoints is sent to one.
const MAX_RUNS: usize = 3;
/// Number of endpoints.
const ENDPOINTS: usize = 8;
/// Number of times that the caller sends the request.
const RETURNS: usize = 10;

async fn sleep(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// Starts a node with endpoints that do what `crashing` says with requests to `path`, and what `other`
/// says with all others.
async fn fleet(path: &'static str, crashing: Behavior, other: Behavior) -> (Node, Vec<Server>) {
    let mut servers = Vec::new();
    for _ in 0..ENDPOINTS {
        let behavior = Behavior::ForPath(path, crashing.clone().into(), other.clone().into());
        servers.push(Server::start(vec![behavior]).await);
    }
    let node = node(servers.iter().map(endpoint_for(path)).collect()).await;
    (node, servers)
}

/// Returns how often a path was requested at all endpoints.
fn runs(servers: &[Server], path: &str) -> usize {
    let heads = servers.iter().flat_map(Server::heads);
    heads.filter(|h| h.split(' ').nth(1) == Some(path)).count()
}

/// Sends a request again and again, as a caller that does not give up.
async fn send_repeatedly(node: &Node, path: &str) -> Vec<Received> {
    let mut responses = Vec::new();
    for _ in 0..RETURNS {
        responses.push(send(node.addr, request(path)).await);
        sleep(20).await;
    }
    responses
}

// Guards against a request that crashes each endpoint that runs it and is sent to the next one
// whenever its caller returns.
#[test]
fn a_request_that_crashes_endpoints_is_refused_after_three_of_them() {
    run(async {
        let answer = Behavior::Answer(200, "x");
        let (node, servers) = fleet("/safe/bad", Behavior::Crash, answer).await;
        let responses = send_repeatedly(&node, "/safe/bad").await;
        let sent = runs(&servers, "/safe/bad");
        assert!(sent <= MAX_RUNS, "sent to {sent} endpoints");
        let last = responses.last().unwrap();
        assert_eq!(last.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(last.headers.contains_key("retry-after"));
        let other = send(node.addr, request("/safe/x")).await;
        assert_eq!(other.status, StatusCode::OK);
    });
}

// Guards against a finder that looks at missing heads only: a stream may crash its endpoint after the
// first events, and is resumed at the next one.
#[test]
fn a_stream_that_crashes_endpoints_is_refused_after_three_of_them() {
    run(async {
        let crash = Behavior::EventsThenCrash(1, 2);
        let (node, servers) = fleet("/chat/bad", crash, Behavior::Events(1, 4)).await;
        let responses = send_repeatedly(&node, "/chat/bad").await;
        let sent = runs(&servers, "/chat/bad");
        assert!(sent <= MAX_RUNS, "sent to {sent} endpoints");
        let last = responses.last().unwrap();
        assert_eq!(last.status, StatusCode::SERVICE_UNAVAILABLE);
        let other = send(node.addr, request("/chat/x")).await;
        assert!(other.status == StatusCode::OK && other.complete);
    });
}
