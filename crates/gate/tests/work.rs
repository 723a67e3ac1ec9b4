//! Endpoints that send bytes without end which bring nothing: the work for them is bounded.

mod support;

use http::StatusCode;
use std::time::Duration;
use support::caller::{request, send};
use support::server::{Behavior, Endless, Server};
use support::{endpoint_for, node, run};

/// Bytes of a connection after which the node must have closed it: four times what any of these responses is
/// allowed, since the kernels hold some.
const MAX_BYTES: usize = 16 << 20;
/// Time in which the closed connection is noticed.
const CLOSING_TIME: Duration = Duration::from_secs(2);

/// What brings nothing on any route.
const KINDS: [Endless; 7] = [
    Endless::Head,
    Endless::Interim,
    Endless::HeaderLines,
    Endless::ShortChunks,
    Endless::Zeros,
    Endless::Extension,
    Endless::Trailers,
];
/// What brings nothing to a stream.
const STREAM_KINDS: [Endless; 2] = [Endless::Comments, Endless::SameEvent];

/// Sends requests to an endpoint that sends this without end, and returns the most that one connection took.
async fn bytes_taken(path: &str, kind: Endless) -> usize {
    let server = Server::start(vec![Behavior::Endless(kind)]).await;
    let node = node(vec![endpoint_for(path)(&server)]).await;
    let response = send(node.addr, request(path)).await;
    let whole = response.status == StatusCode::OK && response.complete;
    assert!(!whole, "{path} {kind:?} looks complete");
    let closed = async {
        while server.endless_bytes().len() < server.heads().len() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    let closed = tokio::time::timeout(CLOSING_TIME, closed).await;
    assert!(closed.is_ok(), "{path} {kind:?}: still open");
    server.endless_bytes().into_iter().max().unwrap_or_default()
}

// Guards against endpoints that keep a core busy for as long as their requests' deadlines, with bytes that bring
// nothing.
#[test]
fn bytes_that_bring_nothing_end_their_connection() {
    run(async {
        let mut excessive = Vec::new();
        let paths = ["/safe/x", "/once/x", "/chat/x"];
        let cases = paths
            .iter()
            .flat_map(|path| KINDS.map(|kind| (*path, kind)));
        for (path, kind) in cases.chain(STREAM_KINDS.map(|kind| ("/chat/x", kind))) {
            let taken = bytes_taken(path, kind).await;
            if taken > MAX_BYTES {
                excessive.push((path, kind, taken));
            }
        }
        assert!(excessive.is_empty(), "{excessive:?}");
    });
}

// Guards against the same in the body of a refusal, which is read to reuse the connection.
#[test]
fn the_endless_body_of_a_refusal_ends_its_connection() {
    run(async {
        for path in ["/safe/x", "/once/x", "/chat/x"] {
            let taken = bytes_taken(path, Endless::Refusal).await;
            assert!(taken <= MAX_BYTES, "{path}: {taken}");
        }
    });
}

// Guards against a stream of comments that counts as one which makes progress, so that no other endpoint is tried.
#[test]
fn comments_are_no_progress() {
    run(async {
        let first = Server::start(vec![Behavior::Endless(Endless::Comments)]).await;
        let node = node(vec![endpoint_for("/chat/x")(&first)]).await;
        let sending = send(node.addr, request("/chat/x"));
        let second = Server::start(vec![Behavior::Events(2, 3)]).await;
        let registered = async {
            support::wait_for_request(&first).await;
            let endpoints = [&first, &second].map(endpoint_for("/chat/x"));
            let view = support::view(endpoints.into());
            node.shared_view.store(Some(std::sync::Arc::new(view)));
        };
        let (response, ()) = tokio::join!(sending, registered);
        assert_eq!(support::caller::ids(&response.body), [1, 2, 3]);
        assert!(response.complete);
    });
}
