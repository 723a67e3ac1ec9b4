//! Tests for responses whose endpoint, or a stage of it, is given up although nothing has taken its
//! place.

mod support;

use catalog::endpoint::Endpoint;
use gate::view::View;
use http::{HeaderValue, StatusCode};
use std::sync::Arc;
use std::time::Duration;
use steer::budget::Allowance;
use support::caller::{Received, ids, request, send};
use support::server::{Behavior, Server};
use support::{
    ALLOWANCE, LAYERS, Node, endpoint_for, node, plain, run, stage, start, view, wait_for_request,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A retry budget that a recently started node has several retries of, too.
const RETRIES: Allowance = Allowance {
    ratio: 10.0,
    ..ALLOWANCE
};

/// Returns the view with this number of attempts for every route.
fn with_attempts(mut view: View, attempts: u32) -> View {
    let mut catalog = (*view.fleet.catalog).clone();
    for route in &mut catalog.routes {
        route.max_attempts = attempts;
    }
    view.fleet.catalog = Arc::new(catalog);
    view
}

/// Sends a request with a timeout of five seconds to the endpoint `first`. Each endpoint of
/// `others` registers once the one before it has received a request.
async fn send_in_turn(
    path: &str,
    attempts: u32,
    first: Behavior,
    others: Vec<Behavior>,
) -> (Received, Vec<Server>) {
    let mut servers = Vec::new();
    for behavior in std::iter::once(first).chain(others) {
        servers.push(Server::start(vec![behavior]).await);
    }
    let node = start(RETRIES).await;
    let publish = |endpoints: &[Server]| {
        let endpoints = endpoints.iter().map(endpoint_for(path)).collect();
        let view = with_attempts(view(endpoints), attempts);
        node.shared_view.store(Some(Arc::new(view)));
    };
    publish(&servers[..1]);
    let mut request = request(path);
    let deadline = HeaderValue::from_static("5000");
    request.headers_mut().insert("deadline", deadline);
    let registered = async {
        for known in 1..servers.len() {
            wait_for_request(&servers[known - 1]).await;
            publish(&servers[..=known]);
        }
        std::future::pending::<()>().await;
    };
    let response = tokio::select! {
        response = send(node.addr, request) => response,
        () = registered => unreachable!(),
    };
    (response, servers)
}

fn assert_events(response: &Received, last: u64, case: &str) {
    assert_eq!(
        (response.status, ids(&response.body), response.complete),
        (StatusCode::OK, (1..=last).collect(), true),
        "{case}"
    );
}

// Guards against a response that is cut off because the endpoint that has accepted it beside an
// idle one was given up as idle too, when no attempt was left.
#[test]
fn an_accepted_response_is_awaited_beside_an_idle_one() {
    run(async {
        let first = Behavior::EventsThenStall(1, 2);
        #[allow(clippy::reversed_empty_ranges)]
        let slow = Behavior::EventsWithPause(3..=2, Duration::from_millis(1800), 3..=4);
        let (response, _) = send_in_turn("/chat/x", 2, first, vec![slow]).await;
        assert_events(&response, 4, "");
    });
}

// Guards against a response that is cut off because the end that another endpoint sent beside an
// idle one was discarded, when the idle one then breaks after its last event.
#[test]
fn the_end_that_another_endpoint_sent_is_used_if_the_idle_one_breaks() {
    run(async {
        #[allow(clippy::reversed_empty_ranges)]
        let first = Behavior::EventsWithPause(1..=4, Duration::from_millis(2400), 6..=5);
        let others = vec![Behavior::Events(5, 4)];
        let (response, _) = send_in_turn("/chat/x", 2, first, others).await;
        assert_events(&response, 4, "");
    });
}

// Guards against an error for a stream whose slow endpoint was given up when the next one had sent
// the head of its response, and no event.
#[test]
fn a_slow_stream_is_awaited_until_another_endpoint_has_sent_an_event() {
    run(async {
        for other in [
            Behavior::EventsThenReset(1, 0),
            Behavior::EventsThenStall(1, 0),
        ] {
            let case = format!("{other:?}");
            let delay = Duration::from_millis(2400);
            let first = Behavior::Delayed(delay, Box::new(Behavior::Events(1, 4)));
            let (response, servers) = send_in_turn("/chat/x", 2, first, vec![other]).await;
            assert!(!servers[1].heads().is_empty(), "{case} was not tried");
            assert_events(&response, 4, &case);
        }
    });
}

// Guards against an error for a request whose slow endpoint was given up when the next one had sent
// the head of its response, and no whole body.
#[test]
fn a_slow_response_is_awaited_until_another_endpoint_has_sent_its_body() {
    run(async {
        let delay = Duration::from_millis(1500);
        let first = Behavior::Delayed(delay, Box::new(Behavior::Answer(200, "late")));
        let (response, _) = send_in_turn("/safe/x", 2, first, vec![Behavior::HalfBody]).await;
        assert_eq!(
            (response.status, response.body.as_str()),
            (StatusCode::OK, "late")
        );
    });
}

// Guards against a request that is held until its deadline, with an attempt left and a free
// endpoint, because the endpoint that is tried beside a silent one is silent too.
#[test]
fn a_third_endpoint_is_tried_beside_two_silent_ones() {
    run(async {
        let others = vec![Behavior::Silent, Behavior::Answer(200, "third")];
        let (response, _) = send_in_turn("/safe/x", 3, Behavior::Silent, others).await;
        assert_eq!(
            (response.status, response.body.as_str()),
            (StatusCode::OK, "third")
        );
    });
}

// Guards against the same for an event stream, before its first event, between two events, and
// after its first endpoint broke.
#[test]
fn a_third_endpoint_is_tried_for_a_stream_whose_second_one_is_silent() {
    run(async {
        for first in [
            Behavior::Silent,
            Behavior::EventsThenStall(1, 2),
            Behavior::EventsThenReset(1, 2),
        ] {
            let case = format!("{first:?}");
            let others = vec![Behavior::Silent, Behavior::Events(1, 4)];
            let (response, _) = send_in_turn("/chat/x", 3, first, others).await;
            assert_events(&response, 4, &case);
        }
    });
}

// Guards against a connection that is closed without a response: the first events were received
// together with an error behind them, and were discarded with the head before they were written.
#[test]
fn the_events_before_an_error_reach_the_caller_with_the_head() {
    run(async {
        let first = Behavior::OneChunk(vec![1, 2, 4]);
        let (response, _) = send_in_turn("/chat/x", 1, first, vec![]).await;
        assert_eq!(
            (response.status, ids(&response.body), response.complete),
            (StatusCode::OK, vec![1, 2], false)
        );
    });
}

/// Starts a node that knows these endpoints, sends a request to it, runs `changes` once `head` has
/// received it, and ends after `limit`.
async fn send_during<F: Future<Output = ()>>(
    endpoints: Vec<Endpoint>,
    head: &Server,
    limit: Duration,
    changes: impl FnOnce(Node) -> F,
) {
    let node = node(endpoints).await;
    let sending = send(node.addr, request("/chat/x"));
    let changes = async {
        wait_for_request(head).await;
        changes(node).await;
    };
    let both = async { tokio::join!(sending, changes) };
    let _ = tokio::time::timeout(limit, both).await;
}

// Guards against a response that stays blocked on a failed stage: it had been idle for so long that
// another endpoint was to be tried, there was none, and its own stage was not replaced any more.
#[test]
fn a_stage_is_replaced_after_a_long_idle_time() {
    run(async {
        let head = Server::start(vec![Behavior::EventsThenStall(1, 2)]).await;
        let lost = Server::start(vec![Behavior::Silent]).await;
        let spare = Server::start(vec![Behavior::Silent]).await;
        let known = vec![
            stage(head.addr, 0, 2),
            stage(lost.addr, 2, LAYERS),
            stage(spare.addr, 2, LAYERS),
        ];
        let limit = Duration::from_millis(3000);
        let own = head.clone();
        send_during(known, &head, limit, |_node| async move {
            tokio::time::sleep(Duration::from_millis(1700)).await;
            let chain = support::server::header(&own.heads()[0], "chain").unwrap();
            let used = [&lost, &spare];
            let used = used.iter().find(|s| chain.contains(&s.addr.to_string()));
            own.set_report(format!("r1 {}", used.unwrap().addr));
        })
        .await;
        assert_eq!(head.orders(), ["r1/2"]);
    });
}

// Guards against a response that stays blocked on a failed stage while another endpoint, which does
// not respond, is tried beside it.
#[test]
fn a_stage_is_replaced_while_another_endpoint_is_tried() {
    run(async {
        let head = Server::start(vec![Behavior::EventsThenStall(1, 2)]).await;
        let lost = Server::start(vec![Behavior::Silent]).await;
        let spare = Server::start(vec![Behavior::Silent]).await;
        let known = vec![stage(head.addr, 0, 2), stage(lost.addr, 2, LAYERS)];
        let limit = Duration::from_millis(1400);
        let own = head.clone();
        let (lost, tried) = (lost.addr, spare.clone());
        send_during(known.clone(), &head, limit, |node| async move {
            let mut known = known;
            known.push(stage(tried.addr, 0, LAYERS));
            node.shared_view.store(Some(Arc::new(view(known))));
            own.refuse_next_order(lost);
            own.set_report(format!("r1 {lost}"));
            while own.orders().is_empty() || tried.heads().is_empty() {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            own.set_report(format!("r1 {lost}"));
        })
        .await;
        assert!(!spare.heads().is_empty(), "no other endpoint was tried");
        assert_eq!(head.orders(), ["r1/2", "r1/2"]);
    });
}

// Guards against a response that stays blocked on a failed stage: its head had accepted a
// replacement, the response to that order was lost, and the node then took a report that names the
// new stage for an old one.
#[test]
fn a_stage_of_an_unanswered_order_is_replaced() {
    run(async {
        let head = Server::start(vec![Behavior::EventsThenStall(1, 2)]).await;
        let lost = Server::start(vec![Behavior::Silent]).await;
        let second = Server::start(vec![Behavior::Silent]).await;
        let third = Server::start(vec![Behavior::Silent]).await;
        let known = vec![stage(head.addr, 0, 2), stage(lost.addr, 2, LAYERS)];
        let limit = Duration::from_millis(1400);
        let own = head.clone();
        send_during(known.clone(), &head, limit, |node| async move {
            let mut known = known;
            known.push(stage(second.addr, 2, LAYERS));
            node.shared_view.store(Some(Arc::new(view(known.clone()))));
            own.lose_next_order_response();
            own.set_report(format!("r1 {}", lost.addr));
            while own.orders().is_empty() {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            known.push(stage(third.addr, 2, LAYERS));
            node.shared_view.store(Some(Arc::new(view(known))));
            own.set_report(format!("r1 {}", second.addr));
        })
        .await;
        assert_eq!(head.orders(), ["r1/2", "r1/2"]);
    });
}

// Guards against a drain that closes a connection in the middle of a response: one that was read
// from its endpoint and not yet written to its caller must keep the drain waiting.
#[test]
fn a_connection_is_open_until_its_response_is_written() {
    const BODY_BYTES: usize = 12 << 20;
    run(async {
        let body = "x".repeat(BODY_BYTES).leak();
        let server = Server::start(vec![Behavior::Answer(200, body)]).await;
        let node = node(vec![plain(server.addr)]).await;
        let mut caller = TcpStream::connect(node.addr).await.unwrap();
        let head = "POST /once/x HTTP/1.1\r\nhost: h\r\nid: r1\r\nkey: k1\r\ndeadline: 4000\r\n";
        let whole = format!("{head}content-length: 0\r\n\r\n");
        caller.write_all(whole.as_bytes()).await.unwrap();
        let mut read = vec![0; 1 << 16];
        let mut total = caller.read(&mut read).await.unwrap();
        tokio::time::sleep(Duration::from_millis(300)).await;
        let open = node.worker.open_connections();
        while total < BODY_BYTES {
            total += caller.read(&mut read).await.unwrap();
        }
        assert_eq!(open, 1);
    });
}

// Guards against requests that are sent to a silent endpoint while another one is tried beside it:
// its failure was recorded only when another endpoint had answered.
#[test]
fn a_silent_endpoint_gets_no_requests_while_another_one_is_tried() {
    run(async {
        let silent = Server::start(vec![Behavior::Silent]).await;
        let delay = Duration::from_millis(1500);
        let late = Behavior::Delayed(delay, Box::new(Behavior::Answer(200, "late")));
        let slow = Server::start(vec![late]).await;
        let node = start(RETRIES).await;
        let known = [plain(silent.addr), plain(slow.addr)];
        node.shared_view
            .store(Some(Arc::new(view(known[..1].to_vec()))));
        let first = send(node.addr, request("/safe/x"));
        let others = async {
            wait_for_request(&silent).await;
            node.shared_view.store(Some(Arc::new(view(known.to_vec()))));
            wait_for_request(&slow).await;
            let others = (0..8).map(|_| send(node.addr, request("/safe/x")));
            // Shorter than the time after which these requests try another endpoint, too.
            let limit = Duration::from_millis(200);
            let _ = tokio::time::timeout(limit, futures::future::join_all(others)).await;
            silent.heads().len()
        };
        let received = tokio::select! {
            _ = first => unreachable!("the endpoint answers later"),
            received = others => received,
        };
        assert_eq!(received, 1);
    });
}
