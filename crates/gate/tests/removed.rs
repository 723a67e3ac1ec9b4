//! Requests in progress while the operator removes what they use.

mod support;

use std::sync::Arc;
use std::time::Duration;
use support::caller::{ids, request, send};
use support::server::{Behavior, Server};
use support::{LAYERS, node, plain, run, stage, view, with_all_removed};

/// Time from the request to the change, and from the change to the response.
const PAUSE: Duration = Duration::from_millis(300);

// Guards against a response that a change of the catalog cuts off: its route, service, team and
// endpoint are removed after the request was admitted.
#[test]
fn request_in_progress_survives_the_removal_of_all_that_it_uses() {
    run(async {
        for path in ["/once/x", "/safe/x", "/chat/x"] {
            let behavior = match path {
                "/chat/x" => Behavior::EventsWithPause(1..=2, PAUSE * 2, 3..=4),
                _ => Behavior::Delayed(PAUSE * 2, Box::new(Behavior::Answer(200, "ok"))),
            };
            let server = Server::start(vec![behavior]).await;
            let endpoints = vec![plain(server.addr), stage(server.addr, 0, LAYERS)];
            let node = node(endpoints.clone()).await;
            let addr = node.addr;
            let response = tokio::task::spawn_local(async move { send(addr, request(path)).await });
            tokio::time::sleep(PAUSE).await;
            let removed = with_all_removed(view(endpoints));
            node.shared_view.store(Some(Arc::new(removed)));
            node.worker.prune();
            let response = response.await.unwrap();
            assert!(response.complete, "{path}: {response:?}");
            assert_eq!(
                response.status,
                http::StatusCode::OK,
                "{path}: {response:?}"
            );
            if path == "/chat/x" {
                assert_eq!(ids(&response.body), [1, 2, 3, 4]);
            }
            assert_eq!(server.heads().len(), 1, "{path}");
        }
    });
}
