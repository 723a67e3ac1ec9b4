//! Draining of nodes and endpoints.

use rig::caller::{Caller, ChatRequest, addresses};
use rig::expect;
use rig::fleet::{Fleet, wait};
use rig::plan::{Plan, Stage};
use standin::engine::Counters;
use std::time::Duration;

fn paced() -> Plan {
    paced_by(Duration::from_millis(2))
}

fn paced_by(layer_time: Duration) -> Plan {
    let stage = |from, to| Stage {
        from,
        to,
        layer_time,
    };
    Plan {
        stages: vec![stage(0, 6), stage(6, 12)],
        ..Plan::default()
    }
}

// Callers do not notice that a node drains: answers in flight are completed over HTTP/1 and HTTP/2,
// and callers that still use the node's address are served until the address answer expires.
#[tokio::test(flavor = "multi_thread")]
async fn drain_completes_all_answers() {
    let mut fleet = Fleet::start(paced()).await.expect("fleet");
    let addr = fleet.node(0).callers;
    let mut running = tokio::task::JoinSet::new();
    for n in 0..24 {
        let plan = fleet.plan.clone();
        running.spawn(async move {
            let caller = if n % 2 == 0 {
                Caller::new()
            } else {
                Caller::http2()
            };
            // Some requests start before the node leaves and some while it drains.
            tokio::time::sleep(Duration::from_millis(15 * n)).await;
            let request = ChatRequest {
                max_tokens: 48,
                ..ChatRequest::new(format!("menu {n}"))
            };
            let answer = caller.chat(addr, &request).await.expect("answer");
            assert!(answer.complete(), "{answer:?}");
            assert_eq!(answer.text, expect::text(&plan, &request));
        });
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    fleet.drain_node(0).await.expect("drained");
    while let Some(done) = running.join_next().await {
        done.expect("nothing was cut off");
    }
}

// Guards against requests that are given up at the end of the finish timeout without an answer: their callers
// can't tell what became of them.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_is_given_up_gets_an_answer() {
    // A token takes longer than the test.
    let plan = paced_by(Duration::from_secs(1));
    let fleet = Fleet::start(plan).await.expect("fleet");
    let addr = fleet.node(0).callers;
    let mut running = tokio::task::JoinSet::new();
    for n in 0..4 {
        running.spawn(async move {
            let caller = match n % 2 {
                0 => Caller::new(),
                _ => Caller::http2(),
            };
            let request = ChatRequest {
                stream: n % 4 < 2,
                ..ChatRequest::new(format!("menu {n}"))
            };
            (request.stream, caller.chat(addr, &request).await)
        });
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.node(0).abort().await;
    while let Some(answer) = running.join_next().await {
        let (is_stream, answer) = answer.expect("no panic");
        let answer = answer.expect("an answer");
        assert_eq!(answer.outcome.as_deref(), Some("unknown"), "{answer:?}");
        // A stream that stays incomplete ends with its connection, after the event that names the outcome.
        assert_eq!(answer.broken, is_stream, "{answer:?}");
    }
}

// The other nodes no longer offer a leaving node to callers.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_node_is_not_offered() {
    let mut plan = paced();
    plan.drain = Duration::from_secs(3);
    let fleet = Fleet::start(plan).await.expect("fleet");
    let gone = fleet.node(2).callers.to_string();
    let leaving = fleet.node(2).leave();
    let unnamed = async {
        wait("the node is not offered", || async {
            let named = addresses(fleet.node(0).callers).await;
            named.is_ok_and(|n| n.addresses.iter().all(|l| !l.url.ends_with(&gone)))
        })
        .await
        .expect("unnamed");
    };
    tokio::join!(leaving, unnamed);
}

// An endpoint that the instance list marks as leaving gets no new work once the nodes have read the
// list; its running requests are completed.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_endpoint_gets_no_new_work() {
    let fleet = Fleet::start(paced()).await.expect("fleet");
    let mut instances = fleet.instances();
    let leaving = &fleet.endpoints[0];
    for instance in instances.iter_mut().filter(|i| i.name == leaving.name) {
        instance.state = platform::instance::State::Leaving;
    }
    fleet.list.set_instances(instances);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let before = Counters::get(&leaving.engine.counters().opened);
    let caller = Caller::new();
    for n in 0..30 {
        let request = ChatRequest::new(format!("note {n}"));
        let answer = caller.chat(fleet.node(n % 3).callers, &request).await;
        assert!(answer.expect("answer").complete());
    }
    assert_eq!(Counters::get(&leaving.engine.counters().opened), before);
}
