//! Stages that fail under requests that may be repeated: the answer is whole all the same.

use rig::caller::{Answer, Ask, Caller};
use rig::expect;
use rig::fleet::{Fleet, wait};
use rig::plan::{Plan, Stage};
use standin::engine::Counters;
use std::time::Duration;

/// A fleet whose stages take some milliseconds for each token, so that a failure hits in between.
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

/// Asks node 0 and checks that the answer is whole and right.
async fn whole(fleet: &Fleet, ask: &Ask) -> Answer {
    let caller = Caller::new();
    let answer = caller.chat(fleet.node(0).callers, ask).await;
    let answer = answer.expect("answer");
    assert!(answer.complete(), "{answer:?}");
    assert_eq!(answer.text, expect::text(&fleet.plan, ask));
    answer
}

/// An ask whose answer runs to its full length.
fn long(fleet: &Fleet, most: u32) -> Ask {
    let asks = (0..1000).map(|n| Ask {
        most,
        ..Ask::of(format!("a long repair guide {n}"))
    });
    let runs = |ask: &Ask| {
        let shorter = Ask {
            most: most - 1,
            ..ask.clone()
        };
        expect::text(&fleet.plan, ask).len() > expect::text(&fleet.plan, &shorter).len()
    };
    asks.into_iter().find(runs).expect("some answer is long")
}

// The caller sees the whole answer, only later. Every first stage but one refuses connections; the
// node tries one of the dead, is refused before a byte left, and goes on to the one that lives.
#[tokio::test(flavor = "multi_thread")]
async fn stage_dead_before_the_first_token() {
    let fleet = paced().await;
    fleet.endpoints[0].engine.crash();
    fleet.endpoints[2].engine.crash();
    for n in 0..8 {
        whole(&fleet, &Ask::of(format!("menu {n}"))).await;
    }
}

// Every caller sees the whole answer, one with a pause in it. A stage dies while it computes its
// k-th step; the node continues elsewhere from the tokens it has, none twice and none missing.
#[tokio::test(flavor = "multi_thread")]
async fn stage_dies_in_and_after_the_first_token() {
    for step in [1, 2, 9] {
        let fleet = paced().await;
        let dying = &fleet.endpoints[1].engine;
        dying.crash_at_step(step);
        for n in 0..12 {
            let ask = Ask {
                seed: n,
                ..long(&fleet, 24)
            };
            let caller = Caller::new();
            let answer = caller.chat(fleet.node(0).callers, &ask).await;
            let answer = answer.expect("answer");
            assert!(answer.complete(), "{answer:?}");
            assert_eq!(answer.text, expect::text(&fleet.plan, &ask));
        }
        assert!(
            Counters::get(&dying.counters().steps) + 1 >= step,
            "it died"
        );
    }
}

// The caller sees the whole answer. The connections between node and stage stay open and go silent
// in the middle of an answer, while new ones work: the node misses progress, probes on a new
// connection, finds the endpoint alive, drops the silent connections and continues.
#[tokio::test(flavor = "multi_thread")]
async fn open_connections_go_silent() {
    let fleet = paced().await;
    let ask = long(&fleet, 48);
    let running = tokio::spawn({
        let addr = fleet.node(0).callers;
        let ask = ask.clone();
        async move { Caller::new().chat(addr, &ask).await }
    });
    let started = || async { fleet.endpoints.iter().any(|e| e.engine.running() > 0) };
    wait("the answer is under way", started)
        .await
        .expect("start");
    for endpoint in &fleet.endpoints {
        endpoint.engine.hang_open_connections();
    }
    let answer = running.await.expect("task").expect("answer");
    assert!(answer.complete(), "{answer:?}");
    assert_eq!(answer.text, expect::text(&fleet.plan, &ask));
}

// The caller sees the whole, right answer. A stage sends frames of an ended attempt, of another
// request, of another step or other layers; each is told by its numbers and never used.
#[tokio::test(flavor = "multi_thread")]
async fn frames_of_elsewhere_never_reach_an_answer() {
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
            whole(&fleet, &Ask::of(format!("handover {n}"))).await;
        }
    }
}

// The caller sees two teams' answers, each its own. 200 requests of two teams cross on the same
// stages; not a byte of one may stand in another.
#[tokio::test(flavor = "multi_thread")]
async fn two_hundred_requests_of_two_teams_cross() {
    let fleet = Fleet::start(Plan::default()).await.expect("fleet");
    let mut running = tokio::task::JoinSet::new();
    for n in 0..200 {
        let addr = fleet.node(n % 3).callers;
        let plan = fleet.plan.clone();
        let ask = Ask {
            team: plan.teams[n % 2].clone(),
            stream: n % 3 != 0,
            ..Ask::of(format!("note {n}"))
        };
        running.spawn(async move {
            let answer = Caller::new().chat(addr, &ask).await.expect("answer");
            assert!(answer.complete(), "{answer:?}");
            assert_eq!(answer.text, expect::text(&plan, &ask));
        });
    }
    while let Some(done) = running.join_next().await {
        done.expect("every answer is right");
    }
}

// The caller goes away in the middle of a long answer. The node cancels the work down to the
// engines, so that their slots are free again.
#[tokio::test(flavor = "multi_thread")]
async fn work_of_a_caller_who_leaves_is_cancelled() {
    let fleet = paced().await;
    let ask = long(&fleet, 200);
    let caller = Caller::new();
    let response = caller.open(fleet.node(0).callers, &ask).await;
    assert!(response.expect("answer").status().is_success());
    drop(caller);
    let idle = || async { fleet.endpoints.iter().all(|e| e.engine.running() == 0) };
    wait("the engines are idle", idle).await.expect("cancelled");
    let counters = fleet.endpoints.iter().map(|e| e.engine.counters());
    let cancelled: u64 = counters.map(|c| Counters::get(&c.cancelled)).sum();
    assert!(cancelled > 0);
}
