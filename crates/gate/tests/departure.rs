//! Requests that arrive while their node leaves.

mod support;

use bytes::Bytes;
use gate::departure::Schedule;
use http::{Request, StatusCode};
use http_body_util::Full;
use journal::event::Event;
use journal::{Journal, Line, Message};
use std::time::Duration;
use support::caller::{Received, ids, request, send, try_send};
use support::isolation::{add_relay, isolate, refused_node_for};
use support::server::{Behavior, Endless, Server};
use support::{
    ALLOWANCE, LAYERS, Node, endpoint_for, node, plain, run, stage, start_with, view,
    wait_for_request,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

const OK: Behavior = Behavior::Answer(200, "x");
/// Grace time of the platform's pages.
const GRACE: Duration = Duration::from_secs(8);

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Makes a node behave as `after` a signal to stop.
fn leave(node: &Node, after: Duration, grace: Duration) {
    let signalled_at = Instant::now() - after;
    node.worker.leave(Schedule::new(signalled_at, grace));
}

/// A request whose caller waits for this time.
fn waiting(path: &str, time: Duration) -> Request<Full<Bytes>> {
    let mut request = request(path);
    let time = time.as_millis().to_string();
    request
        .headers_mut()
        .insert("deadline", time.parse().unwrap());
    request
}

fn assert_refused(response: &Received, server: &Server) {
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.headers.contains_key("retry-after"));
    assert_eq!(response.headers["connection"], "close");
    assert!(server.heads().is_empty());
}

// Guards against a request that a leaving node accepts later than callers cache its address, and cuts
// when it ends, since the request's deadline is after that.
#[test]
fn a_late_request_whose_response_could_be_cut_is_refused() {
    run(async {
        for (after, accepted) in [(2_600, true), (2_800, false), (3_020, false)] {
            let server = Server::start(vec![Behavior::Events(1, 3)]).await;
            let node = node(vec![stage(server.addr, 0, LAYERS)]).await;
            leave(&node, millis(after), GRACE);
            // The route's timeout of 5 s is shorter.
            let response = send(node.addr, waiting("/chat/x", millis(20_000))).await;
            match accepted {
                true => assert_eq!(ids(&response.body), [1, 2, 3]),
                false => assert_refused(&response, &server),
            }
        }
    });
}

// Guards against a refusal of requests that end before their node does in any case.
#[test]
fn a_request_whose_deadline_is_before_the_end_is_served_until_then() {
    run(async {
        for (after, time, accepted) in [
            (4_900, 2_500, true),
            (5_100, 2_500, false),
            (7_000, 400, true),
            (7_600, 400, false),
        ] {
            let server = Server::start(vec![OK]).await;
            let node = node(vec![plain(server.addr)]).await;
            leave(&node, millis(after), GRACE);
            let response = send(node.addr, waiting("/once/x", millis(time))).await;
            match accepted {
                true => assert_eq!(response.status, StatusCode::OK, "after {after} ms"),
                false => assert_refused(&response, &server),
            }
        }
    });
}

// Guards against times that are all fractions of the grace time: callers cache addresses for as long
// whatever it is.
#[test]
fn the_time_for_late_requests_does_not_grow_with_the_grace_time() {
    let signalled_at = Instant::now();
    for (grace, accept_ms, abort_ms) in [(1, 940, 940), (8, 2_750, 7_520), (60, 2_750, 56_400)] {
        let schedule = Schedule::new(signalled_at, Duration::from_secs(grace));
        assert_eq!(schedule.accept_until(), signalled_at + millis(accept_ms));
        assert_eq!(schedule.abort_at(), signalled_at + millis(abort_ms));
    }
}

// Guards against a request whose head arrives in time and whose body does not: it counts as sent with
// its last byte.
#[test]
fn a_body_that_arrives_too_late_is_refused() {
    run(async {
        let server = Server::start(vec![OK]).await;
        let node = node(vec![plain(server.addr)]).await;
        leave(&node, millis(2_650), GRACE);
        let mut stream = TcpStream::connect(node.addr).await.unwrap();
        let head = "POST /once/x HTTP/1.1\r\nhost: h\r\nid: r1\r\nkey: k1\r\ndeadline: 5000\r\n\
                    content-length: 4\r\n\r\n";
        stream.write_all(head.as_bytes()).await.unwrap();
        tokio::time::sleep(millis(200)).await;
        stream.write_all(b"body").await.unwrap();
        let mut response = String::new();
        stream.read_to_string(&mut response).await.unwrap();
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        assert!(server.heads().is_empty());
    });
}

// Guards against a caller that waits for a response which its node is known to cut.
#[test]
fn a_response_that_is_not_expected_to_end_in_time_is_refused_at_once() {
    run(async {
        let slow = Behavior::EventsWithPause(1..=2, millis(500), 3..=4);
        let server = Server::start(vec![slow, Behavior::Events(1, 4)]).await;
        let endpoint = stage(server.addr, 0, LAYERS);
        let node = node(vec![endpoint]).await;
        let response = send(node.addr, request("/chat/x")).await;
        assert_eq!(ids(&response.body), [1, 2, 3, 4]);
        // 0.44 s are left.
        leave(&node, millis(500), Duration::from_secs(1));
        let response = send(node.addr, request("/chat/x")).await;
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(server.heads().len(), 1);
    });
}

// Guards against a request that runs at most once and that a leaving node accepts though it may have to give it up:
// its caller can't send it again.
#[test]
fn a_request_that_runs_at_most_once_is_refused_unless_it_ends_in_time() {
    run(async {
        for (path, accepted) in [("/once/x", false), ("/safe/x", true)] {
            let server = Server::start(vec![OK]).await;
            let node = node(vec![plain(server.addr)]).await;
            // The deadline is 4 s away, and the abort 3.66 s.
            leave(&node, millis(100), Duration::from_secs(4));
            let response = send(node.addr, request(path)).await;
            match accepted {
                true => assert_eq!(response.status, StatusCode::OK),
                false => assert_refused(&response, &server),
            }
        }
    });
}

/// Sends a request, gives up what is in flight once it has reached the endpoint, and returns the response.
async fn give_up(node: &Node, server: &Server, path: &'static str) -> Received {
    let addr = node.addr;
    let sending = tokio::task::spawn_local(async move { send(addr, request(path)).await });
    wait_for_request(server).await;
    node.worker.abort();
    sending.await.unwrap()
}

// Guards against requests that are given up at the end of the grace time without a response: their callers can't
// tell what became of them, and wait for nothing.
#[test]
fn a_request_that_is_given_up_gets_a_response() {
    run(async {
        for path in ["/once/x", "/safe/x", "/chat/x"] {
            for behavior in [Behavior::Silent, Behavior::Endless(Endless::Body)] {
                let server = Server::start(vec![behavior.clone()]).await;
                let node = node(vec![endpoint_for(path)(&server)]).await;
                let response = give_up(&node, &server, path).await;
                assert_eq!(response.status, StatusCode::BAD_GATEWAY, "{path}");
                assert!(response.complete, "{path}");
                let again = send(node.addr, request(path)).await;
                assert_eq!(again.status, StatusCode::SERVICE_UNAVAILABLE);
                assert_eq!(server.heads().len(), 1);
            }
        }
    });
}

// Guards against the same at a node that relays the request.
#[test]
fn a_relayed_request_that_is_given_up_gets_a_response() {
    run(async {
        for path in ["/once/x", "/safe/x", "/chat/x"] {
            let relay = Server::start(vec![Behavior::Silent]).await;
            let node = refused_node_for(path).await;
            isolate(&node, path).await;
            add_relay(&node, relay.addr, &[]);
            let response = give_up(&node, &relay, path).await;
            assert_eq!(response.status, StatusCode::BAD_GATEWAY, "{path}");
            assert!(response.complete, "{path}");
        }
    });
}

// Guards against a request that is given up before it was sent, without the promise that it has not run.
#[test]
fn a_request_that_was_not_sent_is_refused_as_not_run() {
    run(async {
        // It waits for an endpoint.
        let server = Server::start(vec![OK.held()]).await;
        let mut endpoint = plain(server.addr);
        endpoint.slots = 1;
        let busy = node(vec![endpoint]).await;
        let addr = busy.addr;
        let held: Vec<_> = (0..8)
            .map(|_| tokio::task::spawn_local(send(addr, request("/once/x"))))
            .collect();
        tokio::time::sleep(millis(50)).await;
        busy.worker.abort();
        let mut statuses = Vec::new();
        for response in held {
            let response = response.await.unwrap();
            assert!(response.complete);
            statuses.push(response.status.as_u16());
        }
        let refused = statuses.iter().filter(|s| **s == 503).count();
        assert_eq!(refused, 8 - server.heads().len(), "{statuses:?}");
        assert!(refused > 0 && statuses.iter().all(|s| [502, 503].contains(s)));
        // Its body has not arrived.
        let server = Server::start(vec![OK]).await;
        let node = node(vec![plain(server.addr)]).await;
        let mut stream = TcpStream::connect(node.addr).await.unwrap();
        let head = "POST /once/x HTTP/1.1\r\nhost: h\r\nid: r1\r\nkey: k1\r\ndeadline: 4000\r\n\
                    content-length: 4\r\n\r\nbo";
        stream.write_all(head.as_bytes()).await.unwrap();
        tokio::time::sleep(millis(50)).await;
        node.worker.abort();
        let mut response = String::new();
        stream.read_to_string(&mut response).await.unwrap();
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        assert!(server.heads().is_empty());
    });
}

// Guards against a second signal that is ignored.
#[test]
fn a_closed_node_refuses_requests_that_would_end_in_time() {
    run(async {
        let server = Server::start(vec![OK]).await;
        let node = node(vec![plain(server.addr)]).await;
        leave(&node, Duration::ZERO, GRACE);
        node.worker.close();
        let response = send(node.addr, waiting("/once/x", millis(500))).await;
        assert_refused(&response, &server);
    });
}

// Guards against a promise that another node can take the request at once where there is none.
#[test]
fn a_refusal_without_another_node_asks_for_the_time_of_a_restart() {
    run(async {
        for (nodes, range) in [(2, 0.0..0.1), (1, 1.4..3.1)] {
            let node = node(Vec::new()).await;
            let mut view = support::view(Vec::new());
            view.fleet.budget_nodes = nodes;
            node.shared_view.store(Some(std::sync::Arc::new(view)));
            node.worker.close();
            let response = send(node.addr, request("/once/x")).await;
            let retry_after = response.headers["retry-after"].to_str().unwrap();
            let retry_after: f64 = retry_after.parse().unwrap();
            assert!(range.contains(&retry_after), "{retry_after}");
        }
    });
}

// Guards against a request that a caller sent before the end of the time for late requests, and that
// is dropped while it waits for a slot.
#[test]
fn a_waiting_request_that_was_accepted_is_served() {
    run(async {
        let server = Server::start(vec![OK.held(), OK]).await;
        let mut endpoint = plain(server.addr);
        endpoint.slots = 1;
        let node = node(vec![endpoint]).await;
        let held: Vec<_> = (0..4)
            .map(|_| tokio::task::spawn_local(send(node.addr, request("/once/x"))))
            .collect();
        wait_for_request(&server).await;
        leave(&node, millis(2_700), GRACE);
        let waiting = tokio::task::spawn_local(send(node.addr, request("/once/x")));
        tokio::time::sleep(millis(100)).await;
        server.release(1);
        for response in held.into_iter().chain([waiting]) {
            assert_eq!(response.await.unwrap().status, StatusCode::OK);
        }
    });
}

// Guards against a relayed request that is cut by a node whose caller does not know that it leaves.
#[test]
fn a_leaving_node_takes_a_relayed_request_only_if_it_ends_in_time() {
    run(async {
        for (time, relayed) in [(4_000, true), (20_000, false)] {
            let server = Server::start(vec![Behavior::Events(1, 3)]).await;
            let node = node(vec![stage(server.addr, 0, LAYERS)]).await;
            leave(&node, millis(3_000), GRACE);
            let mut request = waiting("/chat/x", millis(time));
            let relay = "1".parse().unwrap();
            request.headers_mut().insert("relayed", relay);
            let response = send(node.addr, request).await;
            assert_eq!(response.status.is_success(), relayed);
            assert_eq!(server.heads().len(), usize::from(relayed));
        }
    });
}

// Guards against a stream that a node cuts at its own end and logs as left by its caller.
#[test]
fn a_stream_that_the_end_of_the_node_cuts_is_logged_so() {
    run(async {
        let server = Server::start(vec![Behavior::EventsThenStall(1, 2)]).await;
        let (journal, lines) = Journal::new(journal::QUEUE_CAPACITY);
        let node = start_with(ALLOWANCE, journal).await;
        let view = view(vec![endpoint_for("/chat/x")(&server)]);
        node.shared_view.store(Some(view.into()));
        let sending = tokio::task::spawn_local(try_send(node.addr, request("/chat/x")));
        wait_for_request(&server).await;
        tokio::time::sleep(millis(50)).await;
        node.worker.abort();
        tokio::time::sleep(millis(50)).await;
        node.stop.kill.cancel();
        let response = sending.await.unwrap().unwrap();
        assert!(!response.complete);
        let ends: Vec<_> = lines
            .try_iter()
            .filter_map(|message| match message {
                Message::Line(Line {
                    event: Event::Ended { outcome, why, .. },
                    ..
                }) => Some((outcome, why)),
                _ => None,
            })
            .collect();
        assert_eq!(ends, [("broken off", "the node ended".to_owned())]);
    });
}
