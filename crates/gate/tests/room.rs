//! Responses for which there is no room when they arrive.

mod support;

use futures::future::join_all;
use http::StatusCode;
use journal::Journal;
use std::sync::Arc;
use support::caller::{request, request_as, send};
use support::server::{Behavior, Server};
use support::{ALLOWANCE, endpoint_for, run, start_on, view};

/// Memory of a machine whose budget holds two of the long responses.
const MEMORY_BYTES: usize = 48 << 20;
/// Length of a long response in bytes, and number of them, which together exceed any budget of such a machine.
const LONG_BYTES: usize = 5 << 20;
const LONG_RESPONSES: usize = 12;

// Guards against responses that are thrown away, though they have run, because others take the memory when they
// arrive.
#[test]
fn responses_wait_for_room() {
    run(async {
        let text: &'static str = Box::leak("x".repeat(LONG_BYTES).into_boxed_str());
        let long = Behavior::Answer(200, text);
        let short = Behavior::Answer(200, "short");
        let both = Behavior::ForPath("/once/long", Box::new(long), Box::new(short));
        let server = Server::start(vec![both]).await;
        let node = start_on(MEMORY_BYTES, ALLOWANCE, Journal::disabled()).await;
        let mut endpoint = endpoint_for("/once/x")(&server);
        endpoint.slots = 100;
        node.shared_view.store(Some(Arc::new(view(vec![endpoint]))));
        let ids: Vec<String> = (0..LONG_RESPONSES).map(|n| format!("l{n}")).collect();
        let sending = ids
            .iter()
            .map(|id| send(node.addr, request_as(id, "/once/long")));
        let sending = async { join_all(sending).await };
        let ordinary = async { send(node.addr, request("/once/x")).await };
        let (responses, ordinary) = futures::join!(sending, ordinary);
        assert_eq!(ordinary.status, StatusCode::OK, "{}", ordinary.body);
        for response in responses {
            assert_eq!(response.status, StatusCode::OK);
            assert!(response.complete && response.body.len() == LONG_BYTES);
        }
    });
}
