//! Requests that crash every endpoint that runs them.

use rig::caller::{Caller, ChatRequest};
use rig::expect;
use rig::fleet::{Fleet, wait};
use rig::plan::Plan;

/// Prompt that crashes an engine.
const POISON: &str = "\u{0}poison";

async fn fleet() -> Fleet {
    let plan = Plan {
        replicas: 6,
        ..Plan::default()
    };
    let fleet = Fleet::start(plan).await.expect("fleet");
    for endpoint in &fleet.endpoints {
        endpoint.engine.crash_on_prompt(POISON);
    }
    fleet
}

/// Returns the number of endpoints that do not respond.
async fn count_dead(fleet: &Fleet) -> usize {
    let pool = engine::pool::Pool::default();
    let mut dead = 0;
    for endpoint in &fleet.endpoints {
        let limit = std::time::Duration::from_secs(2);
        dead += usize::from(!pool.probe(endpoint.engine.addr, limit).await);
    }
    dead
}

// Guards against a request that crashes every endpoint of the fleet. Its first attempt crashes one
// endpoint: the caller gets the outcome "unknown" and the request becomes a suspect. The second
// runs alone and crashes another endpoint, after which the request is refused; the nodes notify
// each other, so that a retry at any node is refused. Other requests get complete answers
// meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn crashing_request_is_refused_on_every_node() {
    let fleet = fleet().await;
    let poison = ChatRequest::new(POISON);
    let caller = Caller::new();
    let first = caller.chat(fleet.node(0).callers, &poison).await;
    assert!(first.expect("answer").unknown());
    let lost = count_dead(&fleet).await;
    assert!(lost <= 2, "{lost} endpoints lost");
    for node in fleet.nodes.iter().flatten() {
        wait("a retry is refused", || async {
            let again = caller.chat(node.callers, &poison).await;
            again.is_ok_and(|a| a.error.as_deref() == Some("request_crashes_endpoints"))
        })
        .await
        .expect("refused");
    }
    let lost = count_dead(&fleet).await;
    assert!(lost <= 2, "{lost} endpoints lost");
    for n in 0..12 {
        let request = ChatRequest::new(format!("menu {n}"));
        let answer = caller.chat(fleet.node(n % 3).callers, &request).await;
        let answer = answer.expect("answer");
        assert!(answer.complete(), "{answer:?}");
        assert_eq!(answer.text, expect::text(&fleet.plan, &request));
    }
}
