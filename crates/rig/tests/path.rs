//! The request path over real sockets, without failures.

use rig::caller::{Caller, ChatRequest, addresses};
use rig::fleet::Fleet;
use rig::plan::Plan;
use rig::{expect, plan};

#[tokio::test(flavor = "multi_thread")]
async fn caller_requests_an_address_and_gets_a_complete_answer() {
    let fleet = Fleet::start(Plan::default()).await.expect("fleet");
    let named = addresses(fleet.node(0).callers).await.expect("addresses");
    assert_eq!(named.addresses.len(), 3);
    let addr = named.addresses[0].addr().expect("address");
    let caller = Caller::new();
    for stream in [true, false] {
        let request = ChatRequest {
            stream,
            ..ChatRequest::new("flag the sesame")
        };
        let answer = caller.chat(addr, &request).await.expect("answer");
        assert!(answer.complete(), "{answer:?}");
        assert_eq!(answer.text, expect::text(&fleet.plan, &request));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn adapter_changes_the_answer() {
    let fleet = Fleet::start(Plan::default()).await.expect("fleet");
    let addr = fleet.node(1).callers;
    let plain = ChatRequest::new("explain the swap");
    let adapted = ChatRequest {
        model: format!("{}:{}", plan::MODEL, plan::ADAPTER),
        ..plain.clone()
    };
    let caller = Caller::http2();
    for request in [&plain, &adapted] {
        let answer = caller.chat(addr, request).await.expect("answer");
        assert!(answer.complete(), "{answer:?}");
        assert_eq!(answer.text, expect::text(&fleet.plan, request));
    }
    assert_ne!(
        expect::text(&fleet.plan, &plain),
        expect::text(&fleet.plan, &adapted)
    );
}
