//! Requests that crash every endpoint that runs them.

use rig::caller::{Ask, Caller};
use rig::expect;
use rig::fleet::{Fleet, wait};
use rig::plan::Plan;

/// Text that crashes an engine.
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

async fn dead(fleet: &Fleet) -> usize {
    let pool = engine::pool::Pool::default();
    let mut dead = 0;
    for endpoint in &fleet.endpoints {
        let limit = std::time::Duration::from_secs(2);
        dead += usize::from(!pool.probe(endpoint.engine.addr, limit).await);
    }
    dead
}

// The caller is told that the outcome is unknown, then, when it sends the request again to any node,
// that such requests are refused. Its first attempt kills one endpoint and makes the request a
// suspect; the second runs alone, kills a second one, and condemns it; the nodes tell each other.
// Callers of other requests get whole answers all the while.
#[tokio::test(flavor = "multi_thread")]
async fn crashing_request_is_refused_on_every_node() {
    let fleet = fleet().await;
    let poison = Ask::of(POISON);
    let caller = Caller::new();
    let first = caller.chat(fleet.node(0).callers, &poison).await;
    assert!(first.expect("answer").unknown());
    let lost = dead(&fleet).await;
    assert!(lost <= 2, "{lost} endpoints lost");
    for node in fleet.nodes.iter().flatten() {
        wait("a resend is refused", || async {
            let again = caller.chat(node.callers, &poison).await;
            again.is_ok_and(|a| a.error.as_deref() == Some("request_crashes_endpoints"))
        })
        .await
        .expect("refused");
    }
    let lost = dead(&fleet).await;
    assert!(lost <= 2, "{lost} endpoints lost");
    for n in 0..12 {
        let ask = Ask::of(format!("menu {n}"));
        let answer = caller.chat(fleet.node(n % 3).callers, &ask).await;
        let answer = answer.expect("answer");
        assert!(answer.complete(), "{answer:?}");
        assert_eq!(answer.text, expect::text(&fleet.plan, &ask));
    }
}
