//! Requests that crash the endpoints that run them.

mod support;

use bytes::Bytes;
use catalog::endpoint::State;
use futures::future::{join_all, pending, select_all};
use http::{Request, StatusCode};
use http_body_util::Full;
use std::sync::Arc;
use std::time::Duration;
use support::caller::{Received, request, send};
use support::server::{Behavior, Server};
use support::{ALLOWANCE, Node, endpoint_for, node, plain, run, start, view, wait_for_request};

/// Maximum number of times that a request which crashes endpoints is sent to one.
const MAX_RUNS: usize = 3;
/// Number of endpoints.
const ENDPOINTS: usize = 8;
/// Number of times that the caller sends the request.
const RETURNS: usize = 10;
/// Number of times that endpoints of a harmless request are lost.
const CRASHES_OF_OTHERS: usize = 5;

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

/// Replaces all endpoints of a node by one of the plain service.
async fn replace_endpoints(node: &Node, behavior: Behavior) -> Server {
    let server = Server::start(vec![behavior]).await;
    publish(node, std::slice::from_ref(&server));
    server
}

/// Publishes a view with these endpoints of the plain service.
fn publish(node: &Node, servers: &[Server]) {
    let endpoints = servers.iter().map(|s| plain(s.addr)).collect();
    node.shared_view.store(Some(Arc::new(view(endpoints))));
}

/// Returns how often a path was requested at all endpoints.
fn runs(servers: &[Server], path: &str) -> usize {
    let heads = servers.iter().flat_map(Server::heads);
    heads.filter(|h| h.split(' ').nth(1) == Some(path)).count()
}

/// Returns a request with another body.
fn with_body(path: &str, body: &'static str) -> Request<Full<Bytes>> {
    let (parts, _) = request(path).into_parts();
    Request::from_parts(parts, Full::new(body.into()))
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

// Guards against a refusal of the copies of a harmless request: they ran on several endpoints that were
// lost together.
#[test]
fn endpoints_lost_together_count_as_one_crash() {
    run(async {
        let node = start(ALLOWANCE).await;
        for _ in 0..3 {
            let mut lost = Vec::new();
            for _ in 0..3 {
                lost.push(Server::start(vec![Behavior::Silent]).await);
            }
            publish(&node, &lost);
            let copies = lost.iter().map(|_| send(node.addr, request("/once/x")));
            let loss = async {
                for server in &lost {
                    wait_for_request(server).await;
                }
                join_all(lost.iter().map(Server::crash)).await;
            };
            futures::join!(join_all(copies), loss);
            replace_endpoints(&node, Behavior::Answer(200, "x")).await;
            let response = send(node.addr, request("/once/x")).await;
            assert_eq!(response.status, StatusCode::OK);
        }
    });
}

// Guards against a refusal of a request that is often in flight when endpoints crash, but also
// completes.
#[test]
fn a_completion_ends_the_count_of_crashes() {
    run(async {
        let node = start(ALLOWANCE).await;
        for _ in 0..CRASHES_OF_OTHERS {
            replace_endpoints(&node, Behavior::Crash).await;
            let response = send(node.addr, request("/once/x")).await;
            assert_eq!(response.status, StatusCode::BAD_GATEWAY);
            replace_endpoints(&node, Behavior::Answer(200, "x")).await;
            let response = send(node.addr, request("/once/x")).await;
            assert_eq!(response.status, StatusCode::OK);
        }
    });
}

// Guards against a refusal of requests whose endpoint broke the connection and did not crash.
#[test]
fn a_broken_connection_is_not_a_crash() {
    run(async {
        let node = start(ALLOWANCE).await;
        for _ in 0..CRASHES_OF_OTHERS {
            replace_endpoints(&node, Behavior::Reset).await;
            let response = send(node.addr, request("/once/x")).await;
            assert_eq!(response.status, StatusCode::BAD_GATEWAY);
        }
    });
}

// Guards against a refusal of requests that were in flight when their node lost its paths to all
// endpoints, which then refuse connections as if they had ended.
#[test]
fn endpoints_out_of_reach_did_not_crash() {
    run(async {
        let node = start(ALLOWANCE).await;
        for _ in 0..CRASHES_OF_OTHERS {
            let mut lost = Vec::new();
            for _ in 0..3 {
                lost.push(Server::start(vec![Behavior::Silent]).await);
            }
            publish(&node, &lost);
            let sending = send(node.addr, request("/once/x"));
            let loss = async {
                let any = lost.iter().map(|s| Box::pin(wait_for_request(s)));
                select_all(any).await;
                join_all(lost.iter().map(Server::crash)).await;
                pending::<()>().await;
            };
            let response = tokio::select! {
                response = sending => response,
                () = loss => unreachable!(),
            };
            assert_eq!(response.status, StatusCode::BAD_GATEWAY);
        }
        replace_endpoints(&node, Behavior::Answer(200, "x")).await;
        let response = send(node.addr, request("/once/x")).await;
        assert_eq!(response.status, StatusCode::OK);
    });
}

// Guards against a refusal of requests that were cut off by endpoints which left as announced.
#[test]
fn an_endpoint_that_leaves_is_not_a_crash() {
    run(async {
        let node = start(ALLOWANCE).await;
        for _ in 0..CRASHES_OF_OTHERS {
            let leaving = replace_endpoints(&node, Behavior::Silent).await;
            let sending = send(node.addr, request("/once/x"));
            let end = async {
                wait_for_request(&leaving).await;
                let mut endpoint = plain(leaving.addr);
                endpoint.state = State::Draining;
                let draining = view(vec![endpoint]);
                node.shared_view.store(Some(Arc::new(draining)));
                leaving.crash().await;
            };
            let (response, ()) = futures::join!(sending, end);
            assert_eq!(response.status, StatusCode::BAD_GATEWAY);
        }
        replace_endpoints(&node, Behavior::Answer(200, "x")).await;
        let response = send(node.addr, request("/once/x")).await;
        assert_eq!(response.status, StatusCode::OK);
    });
}

// Guards against a refusal of requests that share only path and caller with one that crashes endpoints.
#[test]
fn requests_with_another_body_are_served() {
    run(async {
        let answer = Behavior::Answer(200, "x");
        let (node, servers) = fleet("/once/bad", Behavior::Crash, answer.clone()).await;
        for _ in 0..MAX_RUNS {
            send(node.addr, request("/once/bad")).await;
        }
        let refused = send(node.addr, request("/once/bad")).await;
        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
        for server in &servers {
            server.set_behavior(answer.clone());
        }
        let other = send(node.addr, with_body("/once/bad", "other")).await;
        assert_eq!(other.status, StatusCode::OK);
    });
}

// Guards against a request that crashes endpoints without end, since some of them answer it with an
// error of their own in between.
#[test]
fn an_error_does_not_end_the_count_of_crashes() {
    run(async {
        let node = start(ALLOWANCE).await;
        let mut crashed = 0;
        for _ in 0..RETURNS {
            for behavior in [Behavior::Crash, Behavior::Answer(500, "x")] {
                let server = replace_endpoints(&node, behavior.clone()).await;
                send(node.addr, request("/once/x")).await;
                let ran = !server.heads().is_empty();
                crashed += usize::from(ran && matches!(behavior, Behavior::Crash));
            }
        }
        assert!(crashed <= MAX_RUNS, "{crashed} endpoints crashed");
    });
}

/// Returns how long a request is suspended, by the refusal that it gets.
async fn suspension(node: &Node, path: &str) -> Duration {
    let refused = send(node.addr, request(path)).await;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    let delay = refused.headers["retry-after"].to_str().unwrap();
    Duration::from_secs_f64(delay.parse().unwrap())
}

// Guards against copies of a request that crashes endpoints which all return when its suspension ends.
#[test]
fn a_request_runs_alone_after_its_suspension() {
    run(async {
        let answer = Behavior::Answer(200, "x");
        let crash = Behavior::Crash.delayed(Duration::from_millis(100));
        let (node, servers) = fleet("/safe/bad", crash, answer).await;
        send(node.addr, request("/safe/bad")).await;
        tokio::time::sleep(suspension(&node, "/safe/bad").await).await;
        let copies = (0..RETURNS).map(|_| send(node.addr, request("/safe/bad")));
        let responses = join_all(copies).await;
        let sent = runs(&servers, "/safe/bad");
        assert_eq!(sent, MAX_RUNS);
        let refused = responses
            .iter()
            .filter(|r| r.status == StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(refused.count(), RETURNS - 1);
    });
}

// Guards against a suspended request that is sent from one endpoint to the next because each is full.
#[test]
fn a_trial_that_is_refused_is_not_sent_on() {
    run(async {
        let answer = Behavior::Answer(200, "x");
        let (node, servers) = fleet("/safe/bad", Behavior::Crash, answer).await;
        // Each request adds to the retry budget.
        for _ in 0..50 {
            send(node.addr, request("/safe/x")).await;
        }
        send(node.addr, request("/safe/bad")).await;
        let suspended = suspension(&node, "/safe/bad").await;
        for server in &servers {
            server.set_behavior(Behavior::Refuse(503));
        }
        tokio::time::sleep(suspended).await;
        let response = send(node.addr, request("/safe/bad")).await;
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(runs(&servers, "/safe/bad"), MAX_RUNS);
    });
}

/// Returns a request that no other one is like, with these parts in its prompt before a part of its own.
fn prompt(path: &str, number: usize, parts: &str) -> Request<Full<Bytes>> {
    let (mut head, _) = request(path).into_parts();
    let parts = format!("{parts},own{number}");
    head.headers.insert("parts", parts.parse().unwrap());
    let body = format!("prompt {number}");
    Request::from_parts(head, Full::new(body.into()))
}

// Guards against a part of prompts that crashes endpoints, each time in another request.
#[test]
fn a_part_that_crashes_endpoints_is_refused_after_three_of_them() {
    run(async {
        for path in ["/safe/bad", "/chat/bad"] {
            let answer = match path {
                "/chat/bad" => Behavior::Events(1, 4),
                _ => Behavior::Answer(200, "x"),
            };
            let (node, servers) = fleet(path, Behavior::Crash, answer).await;
            for number in 0..RETURNS {
                send(node.addr, prompt(path, number, "shared,guilty")).await;
                sleep(20).await;
            }
            let sent = runs(&servers, path);
            assert!(sent <= MAX_RUNS, "sent to {sent} endpoints");
        }
    });
}

// Guards against a refusal of sound requests that share the caller and other parts of the prompt with
// requests that crash endpoints.
#[test]
fn requests_without_the_part_that_crashes_endpoints_are_served() {
    run(async {
        let answer = Behavior::Answer(200, "x");
        let (node, _servers) = fleet("/safe/bad", Behavior::Crash, answer).await;
        let mut served = 0;
        for number in 0..RETURNS {
            let sound = prompt("/safe/x", 100 + number, "shared");
            let response = send(node.addr, sound).await;
            served += usize::from(response.status == StatusCode::OK);
            send(node.addr, prompt("/safe/bad", number, "shared,guilty")).await;
            sleep(20).await;
        }
        assert_eq!(served, RETURNS);
    });
}
