//! Ends of responses: in each way that HTTP has for them, and those that only look like one.

#[path = "../../../platform/standin/ends/end.rs"]
mod end;
mod support;

use end::End;
use gate::view::View;
use std::time::Duration;
use support::caller::{Received, ids, request, send, try_send};
use support::isolation::{add_relay, isolate, refused_node_for};
use support::server::{Behavior, Server};
use support::{
    ALLOWANCE, endpoint_for, node, run, send_with_failover, start, view, with_unresumable_streams,
};

/// Lines of a head that bears the id of [`request`] and a seal.
const LINES: &str = "id: r1\r\nseal: s\r\n";
const BODY: &str = "sheet";

/// Returns a response to [`request`] with this body, which ends so.
fn response(end: End, body: &str) -> String {
    end.response(LINES, body)
}

fn events(from: u64, to: u64) -> String {
    (from..=to)
        .map(|n| format!("id: {n}\ndata: t{n}\n\n"))
        .collect()
}

/// A kind of request, with a response body for it.
struct Case {
    path: &'static str,
    body: String,
    change: fn(View) -> View,
}

/// Returns a case for each kind of route.
fn cases() -> [Case; 4] {
    let case = |path, body: &str, change| Case {
        path,
        body: body.to_owned(),
        change,
    };
    [
        case("/safe/x", BODY, |view| view),
        case("/once/x", BODY, |view| view),
        case("/chat/x", &events(1, 3), |view| view),
        case("/chat/x", &events(1, 3), with_unresumable_streams),
    ]
}

/// Returns the response to a request of this kind, through a node with one endpoint that behaves so, and the number of
/// times that it was sent.
async fn respond(case: &Case, behavior: Behavior) -> (Option<Received>, usize) {
    let server = Server::start(vec![behavior]).await;
    let node = start(ALLOWANCE).await;
    let view = (case.change)(view(vec![endpoint_for(case.path)(&server)]));
    node.shared_view.store(Some(view.into()));
    let mut request = request(case.path);
    request
        .headers_mut()
        .insert("deadline", "1500".parse().unwrap());
    let response = try_send(node.addr, request).await;
    (response, server.heads().len())
}

fn is_complete_success(response: Option<&Received>) -> bool {
    response.is_some_and(|r| r.status.is_success() && r.complete)
}

/// Asserts that the response of an endpoint that behaves so is no complete success.
async fn assert_not_complete(case: &Case, behavior: Behavior) {
    let (response, _) = respond(case, behavior.clone()).await;
    assert!(
        !is_complete_success(response.as_ref()),
        "{} {behavior:?}: {response:?}",
        case.path
    );
}

// Guards against whole responses that are broken off, refused or asked for again because of the way in which their
// endpoint ends them.
#[test]
fn a_response_is_whole_however_its_endpoint_ends_it() {
    run(async {
        for case in cases() {
            for end in End::ALL {
                let text = Behavior::Text(response(end, &case.body));
                let (response, sent) = respond(&case, text).await;
                let path = case.path;
                assert!(
                    is_complete_success(response.as_ref()),
                    "{path} {end:?}: {response:?}"
                );
                assert_eq!(response.unwrap().body, case.body, "{path} {end:?}");
                assert_eq!(sent, 1, "{path} {end:?}");
            }
        }
    });
}

// Guards against an endpoint that counts as failing because of the way in which it ends its responses.
#[test]
fn an_endpoint_is_not_failing_because_it_closes_connections() {
    run(async {
        for path in ["/once/x", "/chat/x"] {
            let body = if path == "/chat/x" {
                events(1, 3)
            } else {
                BODY.to_owned()
            };
            let text = Behavior::Text(response(End::Close, &body));
            let server = Server::start(vec![text]).await;
            let node = node(vec![endpoint_for(path)(&server)]).await;
            for number in 0..10 {
                let response = send(node.addr, request(path)).await;
                assert!(
                    is_complete_success(Some(&response)),
                    "{path} {number}: {response:?}"
                );
            }
            assert!(node.transitions.borrow().is_empty(), "{path}");
        }
    });
}

// Guards against a response without a mark of its end that counts as whole though its connection was reset, or its
// endpoint was killed in its middle.
#[test]
fn a_response_that_is_cut_is_not_complete() {
    let cuts: [fn(String) -> Behavior; 2] = [Behavior::TextThenReset, Behavior::TextThenExit];
    run(async {
        for (case, cut) in cases().iter().flat_map(|case| cuts.map(|cut| (case, cut))) {
            for end in End::UNMARKED {
                assert_not_complete(case, cut(response(end, &case.body))).await;
            }
        }
    });
}

// Guards against a response that ends right after its head, or in the middle of an event, and counts as whole.
#[test]
fn a_response_that_has_not_begun_or_stops_in_an_event_is_not_complete() {
    run(async {
        for case in cases() {
            let is_stream = case.path == "/chat/x";
            let half = events(1, 2) + "id: 3\ndata: t";
            let bodies = ["", &half];
            for body in &bodies[..if is_stream { 2 } else { 1 }] {
                for end in End::UNMARKED {
                    assert_not_complete(&case, Behavior::Text(response(end, body))).await;
                }
            }
        }
    });
}

// Guards against a stream that is resumed after a break and whose second endpoint ends it with the connection.
#[test]
fn a_resumed_stream_is_whole_however_its_last_endpoint_ends_it() {
    run(async {
        for end in End::ALL {
            let first = Behavior::EventsThenReset(1, 2);
            let rest = Behavior::Text(response(end, &events(3, 4)));
            let (response, servers) =
                send_with_failover("/chat/x", ALLOWANCE, first, vec![rest], |view| view).await;
            assert!(response.complete, "{end:?}: {response:?}");
            assert_eq!(ids(&response.body), [1, 2, 3, 4], "{end:?}");
            assert_eq!(servers[0].heads().len(), 1, "{end:?}");
        }
    });
}

// Guards against a stream that is broken off although the endpoint it is resumed at, which has nothing more to send,
// says so.
#[test]
fn a_stream_that_breaks_after_its_last_event_is_whole() {
    run(async {
        for end in End::ALL {
            let first = Behavior::EventsThenReset(1, 4);
            let rest = Behavior::Text(response(end, ""));
            let (response, _) =
                send_with_failover("/chat/x", ALLOWANCE, first, vec![rest], |view| view).await;
            assert!(response.complete, "{end:?}: {response:?}");
            assert_eq!(ids(&response.body), [1, 2, 3, 4], "{end:?}");
        }
    });
}

// Guards against the same through another node, which marks the ends of responses in its own way.
#[test]
fn a_relayed_response_is_whole_however_its_endpoint_ends_it() {
    run(async {
        for path in ["/safe/x", "/once/x", "/chat/x"] {
            let body = match path {
                "/chat/x" => events(1, 3),
                _ => BODY.to_owned(),
            };
            let isolated = refused_node_for(path).await;
            isolate(&isolated, path).await;
            for end in End::ALL {
                let server = Server::start(vec![Behavior::Text(response(end, &body))]).await;
                let other = node(vec![endpoint_for(path)(&server)]).await;
                let current = isolated.shared_view.load_full().unwrap();
                let mut changed = View::clone(&current);
                changed.relays.clear();
                isolated.shared_view.store(Some(changed.into()));
                add_relay(&isolated, other.addr, &[]);
                let response = send(isolated.addr, request(path)).await;
                assert!(
                    is_complete_success(Some(&response)),
                    "{path} {end:?}: {response:?}"
                );
                assert_eq!(response.body, body, "{path} {end:?}");
                assert_eq!(server.heads().len(), 1, "{path} {end:?}");
            }
        }
    });
}

// Guards against the same beside a stop: the connection of a caller that a leaving node breaks off.
#[test]
fn a_leaving_node_passes_responses_on_whole_however_they_end() {
    run(async {
        for case in cases() {
            for end in End::ALL {
                let text = Behavior::Text(response(end, &case.body));
                let delayed = text.delayed(Duration::from_millis(60));
                let server = Server::start(vec![delayed]).await;
                let node = start(ALLOWANCE).await;
                let view = (case.change)(view(vec![endpoint_for(case.path)(&server)]));
                node.shared_view.store(Some(view.into()));
                let sending = try_send(node.addr, request(case.path));
                let stopping = async {
                    support::wait_for_request(&server).await;
                    node.stop.drain.cancel();
                };
                let (response, ()) = tokio::join!(sending, stopping);
                let path = case.path;
                assert!(
                    is_complete_success(response.as_ref()),
                    "{path} {end:?}: {response:?}"
                );
                assert_eq!(response.unwrap().body, case.body, "{path} {end:?}");
            }
        }
    });
}

/// Returns what a caller of HTTP/1.0 receives, and whether its connection was closed in order.
async fn send_earlier(node: &support::Node, path: &str) -> (String, bool) {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut stream = tokio::net::TcpStream::connect(node.addr).await.unwrap();
    let head = format!(
        "POST {path} HTTP/1.0\r\nhost: h\r\nid: r1\r\nkey: k1\r\ndeadline: 1500\r\ncontent-length: 4\r\n\r\nbody"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    let ended = stream.read_to_end(&mut bytes).await;
    (String::from_utf8(bytes).unwrap(), ended.is_ok())
}

// Guards against a stream that is cut and looks complete to a caller of HTTP/1.0, for whom it ends with the connection.
#[test]
fn a_cut_stream_does_not_look_complete_to_a_caller_of_an_earlier_version() {
    run(async {
        let cut = Behavior::EventsThenReset(1, 2);
        for (behavior, is_whole) in [(Behavior::Events(1, 3), true), (cut, false)] {
            let server = Server::start(vec![behavior]).await;
            let node = start(ALLOWANCE).await;
            let view = with_unresumable_streams(view(vec![endpoint_for("/chat/x")(&server)]));
            node.shared_view.store(Some(view.into()));
            let (text, in_order) = send_earlier(&node, "/chat/x").await;
            assert_eq!(in_order, is_whole, "{text}");
        }
    });
}

/// Ends of a stream's body that are no part of an event.
const TAILS: [&str; 5] = ["\n", "\r\n", "\n\n", ": bye\n", ": bye\n\n"];

// Guards against a stream that is broken off because of a blank line or a comment behind its last event.
#[test]
fn a_stream_is_whole_whatever_follows_its_last_event() {
    run(async {
        for case in cases().into_iter().filter(|c| c.path == "/chat/x") {
            for end in End::ALL {
                for tail in TAILS {
                    let text = Behavior::Text(response(end, &(events(1, 3) + tail)));
                    let (response, sent) = respond(&case, text).await;
                    assert!(
                        is_complete_success(response.as_ref()),
                        "{end:?} {tail:?}: {response:?}"
                    );
                    assert_eq!(ids(&response.unwrap().body), [1, 2, 3], "{end:?} {tail:?}");
                    assert_eq!(sent, 1, "{end:?} {tail:?}");
                }
            }
        }
    });
}

// Guards against a stream whose lines end with a carriage return and a line feed, and that is broken off.
#[test]
fn a_stream_is_whole_with_both_line_ends() {
    run(async {
        for case in cases().into_iter().filter(|c| c.path == "/chat/x") {
            for end in End::ALL {
                let body = events(1, 3).replace('\n', "\r\n");
                let (response, sent) = respond(&case, Behavior::Text(response(end, &body))).await;
                assert!(
                    is_complete_success(response.as_ref()),
                    "{end:?}: {response:?}"
                );
                assert_eq!(response.unwrap().body, body, "{end:?}");
                assert_eq!(sent, 1, "{end:?}");
            }
        }
    });
}
