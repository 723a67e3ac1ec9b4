//! Rolls of a new model version over the endpoints under traffic.

use rig::caller::{Caller, ChatRequest, get};
use rig::expect;
use rig::fleet::Fleet;
use rig::plan::{Plan, VERSION};
use serde_json::Value;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Version that is rolled out.
const NEXT: &str = "2";
/// Timeout of a roll: it includes the lease, three zones with their watch time, and the longest
/// request.
const ROLL_TIMEOUT: Duration = Duration::from_secs(90);

async fn fleet() -> Fleet {
    let plan = Plan {
        load_time: Duration::from_millis(100),
        roll: "watch = 1s\nlongest_request = 2s".to_owned(),
        ..Plan::default()
    };
    Fleet::start(plan).await.expect("fleet")
}

/// Returns the number of endpoints that hold only this version.
fn count_on(fleet: &Fleet, version: &str) -> usize {
    let holds = |e: &&rig::fleet::Endpoint| {
        let spans = e.engine.spans();
        !spans.is_empty() && spans.iter().all(|s| s.version == version)
    };
    fleet.endpoints.iter().filter(holds).count()
}

/// Sends requests until every endpoint holds the new version, and checks that every answer is
/// complete and of a single version.
async fn send_during_roll(fleet: &Fleet) {
    let caller = Caller::new();
    let end = Instant::now() + ROLL_TIMEOUT;
    let mut number = 0;
    while count_on(fleet, NEXT) < fleet.endpoints.len() {
        assert!(
            Instant::now() < end,
            "the roll did not end before the timeout"
        );
        number += 1;
        let request = ChatRequest::new(format!("note {number}"));
        let answer = caller.chat(fleet.node(number % 3).callers, &request).await;
        let answer = answer.expect("answer");
        assert!(answer.complete(), "{answer:?}");
        let either = [VERSION, NEXT].map(|v| expect::text_of(&fleet.plan, &request, v));
        assert!(either.contains(&answer.text), "{answer:?}");
        sleep(Duration::from_millis(20)).await;
    }
}

// During a roll every answer is complete and of a single version. One node holds the lease and
// sends the orders, one availability zone at a time; requests go to the old version until the
// endpoints of the new one hold all its layers. After the roll every answer is of the new version.
#[tokio::test(flavor = "multi_thread")]
async fn new_version_is_rolled_without_a_failed_request() {
    let mut fleet = fleet().await;
    fleet
        .publish(&fleet.text_of(NEXT))
        .await
        .expect("published");
    send_during_roll(&fleet).await;
    sleep(Duration::from_secs(2)).await;
    let caller = Caller::new();
    for node in fleet.nodes.iter().flatten() {
        let request = ChatRequest::new("after the roll");
        let answer = caller.chat(node.callers, &request).await.expect("answer");
        assert!(answer.complete(), "{answer:?}");
        assert_eq!(answer.text, expect::text_of(&fleet.plan, &request, NEXT));
    }
}

// The node that sends the orders dies during a roll. Its lease expires, and another node acquires
// it and completes the roll from the endpoints' reports; answers are complete meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn roll_goes_on_after_its_holder_died() {
    let mut fleet = fleet().await;
    fleet
        .publish(&fleet.text_of(NEXT))
        .await
        .expect("published");
    let end = Instant::now() + ROLL_TIMEOUT;
    while count_on(&fleet, NEXT) == 0 {
        assert!(
            Instant::now() < end,
            "no endpoint got the new version before the timeout"
        );
        sleep(Duration::from_millis(20)).await;
    }
    let holder = holder(&fleet).await.expect("a node holds the lease");
    fleet.kill_node(holder).await.expect("killed");
    while count_on(&fleet, NEXT) < fleet.endpoints.len() {
        assert!(
            Instant::now() < end,
            "the roll did not end before the timeout"
        );
        let request = ChatRequest::new("note");
        let node = fleet.nodes.iter().flatten().next().expect("a node");
        let answer = Caller::new().chat(node.callers, &request).await;
        assert!(answer.expect("answer").complete());
        sleep(Duration::from_millis(50)).await;
    }
}

/// Returns the node that holds the lease: only its dump contains a roll.
async fn holder(fleet: &Fleet) -> Option<usize> {
    for (index, node) in fleet.nodes.iter().enumerate() {
        let Some(node) = node else { continue };
        let dump: Value = get(node.admin, "/dump?format=json").await.ok()?;
        let parts = dump.as_array()?;
        let part = parts.iter().find(|p| p["part"] == "leases and rolls")?;
        if part["text"].as_str()?.contains("group south:") {
            return Some(index);
        }
    }
    None
}
