//! Endpoints that send an event without end, on a machine with little memory.

mod support;

use cap::Cap;
use futures::future::join_all;
use journal::Journal;
use std::alloc::System;
use std::sync::Arc;
use support::caller::{request_as, send};
use support::server::{Behavior, Endless, Server};
use support::{ALLOWANCE, endpoint_for, run, start_on, view};

#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// Memory of the machine in bytes. The endpoint and the callers of the test are in it too.
const MEMORY_BYTES: usize = 64 << 20;
/// Number of streams at the same time, which together send more than the memory before an event is too long.
const STREAMS: usize = 90;

// Guards against events that are buffered in nobody's count: together they take all memory, and the process ends
// with the requests of other callers.
#[test]
fn events_without_end_take_their_memory_from_the_budget() {
    run(async {
        let endless = Behavior::Endless(Endless::Event);
        let faulty = Server::start(vec![endless]).await;
        let sound = Server::start(vec![Behavior::Events(1, 2)]).await;
        let node = start_on(MEMORY_BYTES, ALLOWANCE, Journal::disabled()).await;
        let publish = |server| {
            let mut endpoint = endpoint_for("/chat/x")(server);
            endpoint.slots = 200;
            node.shared_view.store(Some(Arc::new(view(vec![endpoint]))));
        };
        publish(&faulty);
        let ids: Vec<String> = (0..STREAMS).map(|n| format!("e{n}")).collect();
        let sending = ids
            .iter()
            .map(|id| send(node.addr, request_as(id, "/chat/x")));
        for response in join_all(sending).await {
            let whole = response.status.is_success() && response.complete;
            assert!(!whole, "an endless stream looks complete");
        }
        let peak = ALLOCATOR.max_allocated();
        assert!(peak < MEMORY_BYTES, "{} MiB", peak >> 20);
        publish(&sound);
        let ordinary = send(node.addr, request_as("o1", "/chat/x")).await;
        assert!(ordinary.complete && ordinary.status.is_success());
    });
}
