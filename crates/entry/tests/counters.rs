//! Counters of requests that are answered with an error.

#[path = "support/front.rs"]
mod front;

use front::{Front, Origin, RING_CAPACITY, owned_by, post};
use std::time::Duration;
use tokio::time::timeout;

/// Time in which a claim that finds no space in the ring is refused.
const STEP: Duration = Duration::from_secs(1);
const ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
const LOOKUP: &str = "/services/lookup/send";

/// Returns the counters of ended requests, refusals by the router and errors before the router.
fn counts(front: &Front) -> [f64; 3] {
    ["requests", "refusals", "rejects"]
        .map(|name| front.counter(&format!("wigeonshelf_{name}_total")))
}

// Guards against a refusal that counts twice: operators add up refusals of the router and errors
// before it.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_of_the_router_counts_once() {
    let origin = Origin::start(ANSWER).await;
    let front = Front::start(origin.addr);
    let headers = [("x-wigeonshelf-deadline-ms", "0")];
    let response = post(front.addr, LOOKUP, &headers, "menu").await;
    assert!(matches!(response.status(), 503 | 504), "{response:?}");
    assert_eq!(counts(&front), [1.0, 1.0, 0.0]);
}

// Guards against the same for an error of the control thread, and of an endpoint.
#[tokio::test(flavor = "multi_thread")]
async fn error_after_the_arrival_counts_once() {
    let origin = Origin::start("no answer of HTTP").await;
    let mut front = Front::start(origin.addr);
    let addr = front.addr;
    let call = tokio::spawn(async move {
        let headers = [("idempotency-key", "1764712345-a")];
        post(addr, "/services/newsletter/send", &headers, "menu").await
    });
    let claim = front.next_claim().await;
    front.decide(&claim, owned_by(origin.addr));
    let response = call.await.expect("a response");
    assert_eq!(response.status(), 409, "{response:?}");
    assert_eq!(counts(&front), [1.0, 0.0, 0.0]);
    let response = post(addr, "/services/newsletter/send", &[], "menu").await;
    assert_eq!(response.status(), 502, "{response:?}");
    assert_eq!(counts(&front), [2.0, 0.0, 0.0]);
}

#[tokio::test(flavor = "multi_thread")]
async fn error_before_the_router_counts_as_a_reject() {
    let origin = Origin::start(ANSWER).await;
    let front = Front::start(origin.addr);
    let response = post(front.addr, "/services/none/send", &[], "menu").await;
    assert_eq!(response.status(), 404, "{response:?}");
    let headers = [("x-wigeonshelf-repeatable", "perhaps")];
    let response = post(front.addr, LOOKUP, &headers, "menu").await;
    assert_eq!(response.status(), 422, "{response:?}");
    assert_eq!(counts(&front), [0.0, 0.0, 2.0]);
}

// Guards against events of a worker that are lost without a trace while the control thread is slow.
// A claim that finds the ring full is refused, and its request does not run.
#[tokio::test(flavor = "multi_thread")]
async fn events_that_find_a_full_ring_are_counted() {
    let origin = Origin::start(ANSWER).await;
    let front = Front::start(origin.addr);
    let addr = front.addr;
    let calls = (0..RING_CAPACITY + 8).map(|number| async move {
        let key = format!("1764712345-{number}");
        let headers = [
            ("idempotency-key", key.as_str()),
            ("x-wigeonshelf-deadline-ms", "2000"),
        ];
        let path = "/services/newsletter/send";
        timeout(STEP, post(addr, path, &headers, "menu")).await
    });
    let answers = futures::future::join_all(calls).await;
    let refused = answers
        .iter()
        .flatten()
        .filter(|a| a.status() == 503)
        .count();
    let overflows = front.counter("wigeonshelf_ring_overflows_total");
    assert!(refused >= 8, "{refused} refused");
    assert!(
        overflows >= refused as f64,
        "{overflows} overflows, {refused} refused"
    );
}
