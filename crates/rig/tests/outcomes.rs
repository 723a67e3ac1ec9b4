//! Outcomes that callers get when an answer can't be completed.

use rig::caller::{Answer, Caller, ChatRequest};
use rig::expect;
use rig::fleet::Fleet;
use rig::plan::{Plan, Stage};
use standin::engine::Counters;
use std::time::Duration;

/// One replica of two stages that take some milliseconds for each token.
async fn single() -> Fleet {
    let stage = |from, to| Stage {
        from,
        to,
        layer_time: Duration::from_millis(1),
    };
    let plan = Plan {
        nodes: 1,
        replicas: 1,
        stages: vec![stage(0, 6), stage(6, 12)],
        ..Plan::default()
    };
    Fleet::start(plan).await.expect("fleet")
}

/// Builds a request that is not repeatable.
fn not_repeatable(message: &str, stream: bool) -> ChatRequest {
    let request = ChatRequest {
        stream,
        max_tokens: 64,
        ..ChatRequest::new(message)
    };
    request.header("x-wigeonshelf-repeatable", "false")
}

async fn send(fleet: &Fleet, request: &ChatRequest) -> Answer {
    let answer = Caller::new().chat(fleet.node(0).callers, request).await;
    answer.expect("answer")
}

fn steps(fleet: &Fleet) -> u64 {
    let counters = fleet.endpoints.iter().map(|e| e.engine.counters());
    counters.map(|c| Counters::get(&c.steps)).sum()
}

// A stage dies in its second step of a request that is not repeatable. The request may have run,
// since the bytes that start the work were sent, so the outcome is "unknown" and never "not run".
#[tokio::test(flavor = "multi_thread")]
async fn outcome_is_unknown_once_work_may_have_begun() {
    for stream in [true, false] {
        let fleet = single().await;
        fleet.endpoints[1].engine.crash_at_step(2);
        let answer = send(&fleet, &not_repeatable("lock the tower", stream)).await;
        assert!(answer.unknown(), "{answer:?}");
        assert!(!answer.done, "{answer:?}");
        assert!(steps(&fleet) > 0);
    }
}

// A stream that fails ends with an error event, without `[DONE]`, and with an aborted connection,
// so that a client library that checks any of the three does not take it for a complete answer.
#[tokio::test(flavor = "multi_thread")]
async fn failed_stream_does_not_end_like_a_complete_one() {
    let fleet = single().await;
    fleet.endpoints[0].engine.crash_at_step(4);
    let request = not_repeatable("repair steps", true);
    let answer = send(&fleet, &request).await;
    assert!(answer.status.is_success(), "{answer:?}");
    assert!(!answer.text.is_empty());
    assert!(expect::text(&fleet.plan, &request).starts_with(&answer.text));
    assert_eq!(answer.error.as_deref(), Some("outcome_unknown"));
    assert!(!answer.done && answer.broken && answer.finish_reason.is_none());
}

// A caller that requested a complete answer or none gets an error without text, although tokens
// were generated before the failure.
#[tokio::test(flavor = "multi_thread")]
async fn all_or_nothing_gives_no_partial_text() {
    let fleet = single().await;
    fleet.endpoints[0].engine.crash_at_step(4);
    let request = not_repeatable("repair steps", true).header("x-wigeonshelf-whole", "true");
    let answer = send(&fleet, &request).await;
    assert_eq!(answer.status.as_u16(), 502);
    assert!(answer.unknown() && answer.text.is_empty(), "{answer:?}");
    let retry = answer.headers.get("x-should-retry");
    assert_eq!(retry.map(|v| v.as_bytes()), Some(&b"false"[..]));
}

// Every stage refuses the request before any step runs, and the deadline ends the search for
// another chain: the outcome is "not run" with a retry-after delay, and no step has run.
#[tokio::test(flavor = "multi_thread")]
async fn refused_request_runs_no_step() {
    let fleet = single().await;
    fleet.endpoints[1].engine.set_leaving(true);
    let request = not_repeatable("sesame swap", false).header("x-wigeonshelf-deadline-ms", "400");
    let answer = send(&fleet, &request).await;
    assert!(answer.not_run(), "{answer:?}");
    assert!(answer.status.is_server_error());
    assert_eq!(steps(&fleet), 0);
}

// The outcome is "not run", without a wait, if no endpoint serves the model.
#[tokio::test(flavor = "multi_thread")]
async fn dead_fleet_refuses() {
    let fleet = single().await;
    fleet.endpoints[0].engine.crash();
    let request = ChatRequest::new("hello").header("x-wigeonshelf-deadline-ms", "1500");
    let answer = send(&fleet, &request).await;
    assert!(answer.not_run(), "{answer:?}");
    assert_eq!(steps(&fleet), 0);
}

// A request that is not repeatable is not cancelled when its caller disconnects: it runs to its
// end, once.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_is_not_repeatable_outlives_its_caller() {
    let fleet = single().await;
    let caller = Caller::new();
    let request = not_repeatable("lock the tower", true);
    let response = caller.open(fleet.node(0).callers, &request).await;
    assert!(response.expect("answer").status().is_success());
    drop(caller);
    let finished = || async {
        let counters = fleet.endpoints[0].engine.counters();
        Counters::get(&counters.finished) == 1
    };
    rig::fleet::wait("the request runs to its end", finished)
        .await
        .expect("finished");
    let counters = fleet.endpoints[0].engine.counters();
    assert_eq!(Counters::get(&counters.cancelled), 0);
    assert_eq!(Counters::get(&counters.opened), 1);
}
