//! Endpoints that send bytes without end.

mod support;

use cap::Cap;
use futures::future::join_all;
use http::StatusCode;
use std::alloc::System;
use support::caller::{request, send};
use support::server::{Behavior, Endless, Server};
use support::{endpoint_for, node, run};

#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// Memory of a small instance, in bytes.
const MEMORY: usize = 260 << 20;
/// Number of responses that are received at the same time.
const RESPONSES: usize = 40;

// Guards against endpoints whose responses don't end and together take all memory, so that the process
// is killed.
#[test]
fn endless_responses_take_a_bounded_part_of_the_memory() {
    run(async {
        for (path, kind) in [
            ("/safe/x", Endless::Head),
            ("/safe/x", Endless::Body),
            ("/chat/x", Endless::Head),
            ("/chat/x", Endless::Event),
        ] {
            let server = Server::start(vec![Behavior::Endless(kind)]).await;
            let node = node(vec![endpoint_for(path)(&server)]).await;
            let sending = (0..RESPONSES).map(|_| send(node.addr, request(path)));
            for response in join_all(sending).await {
                let whole = response.status == StatusCode::OK && response.complete;
                assert!(!whole, "{kind:?} looks complete");
            }
            let peak = ALLOCATOR.max_allocated();
            assert!(peak < MEMORY / 2, "{kind:?} took {} MiB", peak >> 20);
        }
    });
}
