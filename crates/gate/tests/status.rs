//! Status lines of endpoints that are those of no response.

mod support;

use futures::stream::{self, StreamExt};
use http::StatusCode;
use support::caller::{Received, request, try_send};
use support::isolation::{add_relay, isolate, refused_node_for};
use support::server::{Behavior, Server};
use support::{endpoint_for, node, run};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Paths of an idempotent route, of one that runs at most once, and of a stream that can be resumed.
const PATHS: [&str; 3] = ["/safe/x", "/once/x", "/chat/x"];
/// Beginnings of what is no response: statuses that HTTP does not have, other protocols, and plain text.
const STARTS: [&str; 21] = [
    "HTTP/1.1 000 X",
    "HTTP/1.1 000",
    "HTTP/1.1 001 X",
    "HTTP/1.1 099 X",
    "HTTP/1.1 101 Switching Protocols",
    "HTTP/1.1 600 X",
    "HTTP/1.1 700 X",
    "HTTP/1.1 999 X",
    "HTTP/1.1 20 X",
    "HTTP/1.1 2000 X",
    "HTTP/1.1 2x0 X",
    "HTTP/1.1 -20 X",
    "HTTP/1.1  200 X",
    "HTTP/1.1 200X",
    "HTTP/2.0 200 X",
    "HTTP/0.9 200 X",
    "ICY 200 OK",
    "HTTP/1.1",
    "200 OK",
    "{\"error\":\"\"}",
    "\0\0\0",
];
/// Header lines with the id of [`request`] and a seal, with the id, and with neither.
const LINES: [&str; 3] = ["id: r1\r\nseal: s\r\n", "id: r1\r\n", ""];
/// Number of requests at the same time, each to a node and an endpoint of its own.
const CONCURRENT: usize = 32;
/// Body of the endpoint, also a whole event.
const BODY: &str = "id: 1\ndata: t1\n\n";

/// Returns what the endpoints send: each of them also as a second response on its connection.
fn texts() -> Vec<String> {
    let starts = STARTS.iter().flat_map(|start| {
        LINES.map(|lines| {
            let length = BODY.len();
            format!("{start}\r\n{lines}content-length: {length}\r\n\r\n{BODY}")
        })
    });
    starts.collect()
}

fn with_deadline(path: &str) -> http::Request<http_body_util::Full<bytes::Bytes>> {
    let mut request = request(path);
    let headers = request.headers_mut();
    headers.insert("deadline", "300".parse().unwrap());
    request
}

/// The caller gets an error of the node, which promises nothing.
fn assert_failed(response: Option<Received>, path: &str, text: &str) {
    let response = response.unwrap_or_else(|| panic!("{path} {text:?}: no response"));
    let expected = [StatusCode::BAD_GATEWAY, StatusCode::GATEWAY_TIMEOUT];
    assert!(
        expected.contains(&response.status) && response.complete,
        "{path} {text:?}: {response:?}"
    );
    assert!(!response.headers.contains_key("seal"));
}

// Guards against an endpoint in trouble whose status, such as 000 or 600, reaches the caller as an answer, and
// against a promise that a request has not run which reached such an endpoint.
#[test]
fn what_is_no_response_fails_the_attempt() {
    run(async {
        for path in PATHS {
            let sent = texts().into_iter().map(|text| async move {
                let behaviors = vec![Behavior::Text(text.clone()), Behavior::Silent];
                let server = Server::start(behaviors).await;
                let node = node(vec![endpoint_for(path)(&server)]).await;
                let response = try_send(node.addr, with_deadline(path)).await;
                (text, response, server.heads().len())
            });
            let mut sent = stream::iter(sent).buffer_unordered(CONCURRENT);
            while let Some((text, response, runs)) = sent.next().await {
                assert_failed(response, path, &text);
                assert!(path != "/once/x" || runs == 1, "{text:?}: {runs} runs");
            }
        }
    });
}

// Guards against the same through another node that relays the request.
#[test]
fn what_is_no_response_of_a_relay_fails_the_request() {
    run(async {
        for path in PATHS {
            let relay = Server::start(Vec::new()).await;
            let node = refused_node_for(path).await;
            isolate(&node, path).await;
            add_relay(&node, relay.addr, &[]);
            for text in texts() {
                relay.set_behavior(Behavior::Text(text.clone()));
                let response = try_send(node.addr, with_deadline(path)).await;
                let response = response.unwrap_or_else(|| panic!("{path} {text:?}: no response"));
                assert!(
                    response.status.is_server_error() && !response.headers.contains_key("seal"),
                    "{path} {text:?}: {response:?}"
                );
            }
        }
    });
}

// Guards against an endpoint that fails in this way and is asked again although another one would serve the
// request.
#[test]
fn a_repeatable_request_goes_on_elsewhere() {
    run(async {
        for path in ["/safe/x", "/chat/x"] {
            let text =
                "HTTP/1.1 600 X\r\nid: r1\r\nseal: s\r\ncontent-length: 0\r\n\r\n".to_owned();
            let faulty = Server::start(vec![Behavior::Text(text)]).await;
            let sound = match path {
                "/chat/x" => Behavior::Events(1, 1),
                _ => Behavior::Answer(200, BODY),
            };
            let other = Server::start(vec![sound]).await;
            let endpoint = endpoint_for(path);
            let node = node(vec![endpoint(&faulty), endpoint(&other)]).await;
            while faulty.heads().is_empty() {
                let response = try_send(node.addr, request(path)).await.unwrap();
                assert_eq!(response.status, StatusCode::OK, "{path}: {response:?}");
                assert_eq!(response.body, BODY);
            }
        }
    });
}

// Guards against the version of an endpoint's response in that of the caller's: the version concerns a single
// connection, and tells the caller how the body ends.
#[test]
fn a_response_in_an_earlier_version_is_passed_on_in_that_of_the_node() {
    run(async {
        for path in ["/safe/x", "/once/x", "/chat/x"] {
            let length = BODY.len();
            let text = format!(
                "HTTP/1.0 200 OK\r\nid: r1\r\nseal: s\r\ncontent-length: {length}\r\n\r\n{BODY}"
            );
            let server = Server::start(vec![Behavior::Text(text)]).await;
            let node = node(vec![endpoint_for(path)(&server)]).await;
            let mut caller = TcpStream::connect(node.addr).await.unwrap();
            let head = format!(
                "POST {path} HTTP/1.1\r\nhost: h\r\nid: r1\r\nkey: k1\r\ndeadline: 4000\r\nconnection: close\r\n\r\n"
            );
            caller.write_all(head.as_bytes()).await.unwrap();
            let mut response = String::new();
            caller.read_to_string(&mut response).await.unwrap();
            assert!(response.starts_with("HTTP/1.1 200"), "{path}: {response}");
            assert!(response.contains(BODY), "{path}: {response}");
        }
    });
}
