//! Prefill in progress, from the dispatch of a request to its first event.

mod support;

use gate::view::View;
use std::sync::Arc;
use std::time::Duration;
use support::caller::{request, send};
use support::server::{Behavior, Server, header};
use support::{ALLOWANCE, LAYERS, Node, run, stage, start, view, wait_for_request, with_chunk};

/// Changes a view before it is published.
type Change = fn(View) -> View;

const PREFILL: &str = "prefill of 1 prompts";

/// Starts a node with one endpoint, in a view that is changed by `change`.
async fn start_with_one(server: &Server, change: Change) -> Node {
    let node = start(ALLOWANCE).await;
    let one = view(vec![stage(server.addr, 0, LAYERS)]);
    node.shared_view.store(Some(Arc::new(change(one))));
    node
}

// Guards against prefill that is never ended, which would make a node avoid endpoints that it uses,
// and against prefill that is not recorded at all.
#[test]
fn prefill_lasts_from_dispatch_to_the_first_event_or_the_end() {
    run(async {
        let pause = Duration::from_millis(200);
        let streaming = Behavior::EventsWithPause(1..=1, pause, 2..=2).delayed(pause);
        let server = Server::start(vec![streaming, Behavior::Reset]).await;
        let node = start_with_one(&server, with_chunk).await;
        let watch = async {
            wait_for_request(&server).await;
            let before = node.worker.dump().await;
            tokio::time::sleep(pause * 3 / 2).await;
            (before, node.worker.dump().await)
        };
        let (_, (before, after)) = tokio::join!(send(node.addr, request("/chat/x")), watch);
        assert!(before.contains(PREFILL), "{before}");
        assert!(
            after.contains("flying 1") && !after.contains(PREFILL),
            "{after}"
        );
        send(node.addr, request("/chat/x")).await;
        let failed = node.worker.dump().await;
        assert!(!failed.contains(PREFILL), "{failed}");
    });
}

// Guards against a size class in the priority of services whose catalog states no chunk, which
// would change their order at engines.
#[test]
fn the_priority_has_a_size_class_only_with_a_chunk() {
    run(async {
        // The prompt has the usual size, and the route priority 1.
        let cases: [(Change, &str); 2] = [(with_chunk, "4"), (|view| view, "1")];
        for (change, expected) in cases {
            let server = Server::start(vec![Behavior::Events(1, 2)]).await;
            let node = start_with_one(&server, change).await;
            send(node.addr, request("/chat/x")).await;
            let priority = header(&server.heads()[0], "priority");
            assert_eq!(priority.as_deref(), Some(expected));
        }
    });
}
