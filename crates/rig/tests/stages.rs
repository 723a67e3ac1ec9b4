//! Failures of stages during repeatable requests: the answers are complete nevertheless.

use rig::caller::{Answer, Caller, ChatRequest};
use rig::expect;
use rig::fleet::{Fleet, wait};
use rig::plan::{Plan, Stage};
use standin::engine::Counters;
use std::time::Duration;

/// Starts a fleet whose stages take some milliseconds for each token, so that failures occur
/// between tokens.
async fn paced() -> Fleet {
    let stage = |from, to| Stage {
        from,
        to,
        layer_time: Duration::from_millis(1),
    };
    let plan = Plan {
        stages: vec![stage(0, 6), stage(6, 12)],
        ..Plan::default()
    };
    Fleet::start(plan).await.expect("fleet")
}

/// Sends a request to node 0 and checks that the answer is complete and has the expected text.
async fn check_complete(fleet: &Fleet, request: &ChatRequest) -> Answer {
    let caller = Caller::new();
    let answer = caller.chat(fleet.node(0).callers, request).await;
    let answer = answer.expect("answer");
    assert!(answer.complete(), "{answer:?}");
    assert_eq!(answer.text, expect::text(&fleet.plan, request));
    answer
}

/// Returns a request whose answer has `max_tokens` tokens.
fn long(fleet: &Fleet, max_tokens: u32) -> ChatRequest {
    let requests = (0..1000).map(|n| ChatRequest {
        max_tokens,
        ..ChatRequest::new(format!("a long repair guide {n}"))
    });
    let runs = |request: &ChatRequest| {
        let shorter = ChatRequest {
            max_tokens: max_tokens - 1,
            ..request.clone()
        };
        expect::text(&fleet.plan, request).len() > expect::text(&fleet.plan, &shorter).len()
    };
    requests
        .into_iter()
        .find(runs)
        .expect("some answer is long")
}

// All first stages but one refuse connections. The node's connection is refused before it sends a
// byte, so it retries at the running one, and the answer is only delayed.
#[tokio::test(flavor = "multi_thread")]
async fn stage_dead_before_the_first_token() {
    let fleet = paced().await;
    fleet.endpoints[0].engine.crash();
    fleet.endpoints[2].engine.crash();
    for n in 0..8 {
        check_complete(&fleet, &ChatRequest::new(format!("menu {n}"))).await;
    }
}

// A stage dies while it computes its k-th step. The node continues at another endpoint from the
// tokens that it has, without repeating or losing one; the answer has a pause but is complete.
#[tokio::test(flavor = "multi_thread")]
async fn stage_dies_in_and_after_the_first_token() {
    for step in [1, 2, 9] {
        let fleet = paced().await;
        let dying = &fleet.endpoints[1].engine;
        dying.crash_at_step(step);
        for n in 0..12 {
            let request = ChatRequest {
                seed: n,
                ..long(&fleet, 24)
            };
            let caller = Caller::new();
            let answer = caller.chat(fleet.node(0).callers, &request).await;
            let answer = answer.expect("answer");
            assert!(answer.complete(), "{answer:?}");
            assert_eq!(answer.text, expect::text(&fleet.plan, &request));
        }
        assert!(
            Counters::get(&dying.counters().steps) + 1 >= step,
            "it died"
        );
    }
}

// The open connections between node and stage hang during an answer, while new ones work. The node
// detects that there is no progress, probes over a new connection, finds the endpoint alive, drops
// the hung connections and continues; the answer is complete.
#[tokio::test(flavor = "multi_thread")]
async fn open_connections_hang() {
    let fleet = paced().await;
    let request = long(&fleet, 48);
    let running = tokio::spawn({
        let addr = fleet.node(0).callers;
        let request = request.clone();
        async move { Caller::new().chat(addr, &request).await }
    });
    let started = || async { fleet.endpoints.iter().any(|e| e.engine.running() > 0) };
    wait("the answer is in flight", started)
        .await
        .expect("start");
    for endpoint in &fleet.endpoints {
        endpoint.engine.hang_open_connections();
    }
    let answer = running.await.expect("task").expect("answer");
    assert!(answer.complete(), "{answer:?}");
    assert_eq!(answer.text, expect::text(&fleet.plan, &request));
}

// A stage sends frames of an ended attempt, of another request, of another step or of other layers,
// or garbled frames. The node recognizes them by their identifiers and never uses them in an
// answer.
#[tokio::test(flavor = "multi_thread")]
async fn misdirected_frames_never_reach_an_answer() {
    use standin::engine::ReplyFault;
    let kinds = [
        ReplyFault::StaleAttempt,
        ReplyFault::OtherRequest,
        ReplyFault::StaleStep,
        ReplyFault::OtherLayers,
        ReplyFault::Garbled,
    ];
    for crossed in kinds {
        let fleet = paced().await;
        fleet.endpoints[1].engine.set_reply_fault(Some(crossed));
        for n in 0..4 {
            check_complete(&fleet, &ChatRequest::new(format!("handover {n}"))).await;
        }
    }
}

// 200 requests of two teams run concurrently on the same stages. No answer may contain a byte of
// another.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_requests_of_two_teams_stay_separate() {
    let fleet = Fleet::start(Plan::default()).await.expect("fleet");
    let mut running = tokio::task::JoinSet::new();
    for n in 0..200 {
        let addr = fleet.node(n % 3).callers;
        let plan = fleet.plan.clone();
        let request = ChatRequest {
            team: plan.teams[n % 2].clone(),
            stream: n % 3 != 0,
            ..ChatRequest::new(format!("note {n}"))
        };
        running.spawn(async move {
            let answer = Caller::new().chat(addr, &request).await.expect("answer");
            assert!(answer.complete(), "{answer:?}");
            assert_eq!(answer.text, expect::text(&plan, &request));
        });
    }
    while let Some(done) = running.join_next().await {
        done.expect("every answer is right");
    }
}

// A caller disconnects during a long answer. The node cancels the work at the engines, so that
// their slots become free.
#[tokio::test(flavor = "multi_thread")]
async fn work_of_a_disconnected_caller_is_cancelled() {
    let fleet = paced().await;
    let request = long(&fleet, 200);
    let caller = Caller::new();
    let response = caller.open(fleet.node(0).callers, &request).await;
    assert!(response.expect("answer").status().is_success());
    drop(caller);
    let idle = || async { fleet.endpoints.iter().all(|e| e.engine.running() == 0) };
    wait("the engines are idle", idle).await.expect("cancelled");
    let counters = fleet.endpoints.iter().map(|e| e.engine.counters());
    let cancelled: u64 = counters.map(|c| Counters::get(&c.cancelled)).sum();
    assert!(cancelled > 0);
}
