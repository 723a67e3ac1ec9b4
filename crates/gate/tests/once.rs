//! Requests that run at most once: what permits sending one again, and which refusals are true.

mod support;

use http::StatusCode;
use support::caller::{Received, request, send};
use support::isolation::{add_relay, isolate, refused_node};
use support::server::{Behavior, Server};
use support::{node, plain, run};

/// Statuses by which callers know that a request was not executed and never will be.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

fn promises(response: &Received) -> bool {
    PROMISES.contains(&response.status.as_u16())
}

/// Sends an at-most-once request to a node with two endpoints of this behavior. Returns the response
/// and the number of requests that the endpoints received together.
async fn send_to_two(behavior: Behavior) -> (Received, usize) {
    let servers = [
        Server::start(vec![behavior.clone()]).await,
        Server::start(vec![behavior]).await,
    ];
    let node = node(servers.iter().map(|s| plain(s.addr)).collect()).await;
    let response = send(node.addr, request("/once/x")).await;
    (response, servers.iter().map(|s| s.heads().len()).sum())
}

// Guards against a request that is sent to an endpoint after the connection to the node that relayed it
// broke.
#[test]
fn a_broken_relay_is_not_followed_by_an_attempt() {
    run(async {
        let held = Behavior::Answer(200, "x").held();
        let server = Server::start(vec![held, Behavior::Answer(200, "x")]).await;
        let node = node(vec![plain(server.addr), plain(server.addr)]).await;
        let kept = tokio::task::spawn_local(send(node.addr, request("/safe/x")));
        support::wait_for_request(&server).await;
        server.refuse_new().await;
        isolate(&node, "/safe/x").await;
        server.release(1);
        assert_eq!(kept.await.unwrap().status, StatusCode::OK);
        let before = server.heads().len();
        let broken = Server::start(vec![Behavior::Reset]).await;
        add_relay(&node, broken.addr, &[]);
        let response = send(node.addr, request("/once/x")).await;
        let sent = broken.heads().len() + server.heads().len() - before;
        assert_eq!((response.status, sent), (StatusCode::BAD_GATEWAY, 1));
    });
}

// Guards against callers that are promised "not executed" by a status of an endpoint that did not say
// so, and that send the request again.
#[test]
fn a_status_that_promises_is_not_passed_on_without_a_statement() {
    run(async {
        for status in [408, 429, 503] {
            for headers in ["id: r1\r\nseal: s\r\n", "id: r1\r\n", ""] {
                let (response, sent) = send_to_two(Behavior::WithHeaders(status, headers)).await;
                assert!(!promises(&response), "{status} {headers:?}: {response:?}");
                assert!(!response.headers.contains_key("seal"), "{response:?}");
                assert_eq!(sent, 1, "{status} {headers:?}");
            }
        }
    });
}

// Guards against a request that is sent again, or refused with a promise, since bytes that may belong to
// another request, or a sealed response, state that it was not executed.
#[test]
fn a_statement_without_evidence_permits_nothing() {
    run(async {
        for (status, headers) in [
            (503, "unrun: 1\r\n"),
            (429, "unrun: 1\r\n"),
            (421, ""),
            (503, "id: other\r\nunrun: 1\r\n"),
            (503, "id: r1\r\nseal: s\r\nunrun: 1\r\n"),
            (421, "id: r1\r\nseal: s\r\n"),
        ] {
            let (response, sent) = send_to_two(Behavior::WithHeaders(status, headers)).await;
            assert!(!promises(&response), "{status} {headers:?}: {response:?}");
            assert_eq!(sent, 1, "{status} {headers:?}");
        }
    });
}

// Guards against evidence that is asked for so strictly that a request which was not executed is given
// up.
#[test]
fn a_statement_about_the_request_permits_another_attempt() {
    run(async {
        for (status, headers) in [(503, "id: r1\r\nunrun: 1\r\n"), (421, "id: r1\r\n")] {
            let (response, sent) = send_to_two(Behavior::WithHeaders(status, headers)).await;
            assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
            assert!(sent > 1, "{status}: {sent}");
        }
    });
}

// Guards against a promise of another node that it did not state, such as a status of an endpoint that a
// node of an earlier version passes on.
#[test]
fn a_relay_promises_only_what_it_states() {
    run(async {
        for (headers, status) in [
            ("", StatusCode::BAD_GATEWAY),
            ("id: r1\r\n", StatusCode::BAD_GATEWAY),
            ("unrun: 1\r\n", StatusCode::BAD_GATEWAY),
            ("id: r1\r\nunrun: 1\r\n", StatusCode::SERVICE_UNAVAILABLE),
        ] {
            let relay = Server::start(vec![Behavior::WithHeaders(503, headers)]).await;
            let node = refused_node().await;
            isolate(&node, "/once/x").await;
            add_relay(&node, relay.addr, &[]);
            let response = send(node.addr, request("/once/x")).await;
            assert_eq!(response.status, status, "{headers:?}");
            assert_eq!(relay.heads().len(), 1);
        }
    });
}

// Guards against refusals of another node, at its admission, that the node which relays does not believe.
#[test]
fn a_refusal_at_the_admission_of_another_node_is_passed_on() {
    run(async {
        let server = Server::start(vec![Behavior::Answer(200, "x")]).await;
        let other = node(vec![plain(server.addr)]).await;
        let node = refused_node().await;
        isolate(&node, "/once/x").await;
        add_relay(&node, other.addr, &[]);
        other.worker.close();
        let response = send(node.addr, request("/once/x")).await;
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(response.headers.contains_key("retry-after"));
        assert!(server.heads().is_empty());
    });
}
