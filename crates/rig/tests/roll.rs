//! A new version of a model, rolled over the endpoints under traffic.

use rig::caller::{Ask, Caller, get};
use rig::expect;
use rig::fleet::Fleet;
use rig::plan::{Plan, VERSION};
use serde_json::Value;
use std::time::Duration;
use tokio::time::{Instant, sleep};

const NEXT: &str = "2";
/// Longest time for the roll: the lease, three zones with their watch, and the longest request.
const PATIENCE: Duration = Duration::from_secs(90);

async fn fleet() -> Fleet {
    let plan = Plan {
        load_time: Duration::from_millis(100),
        roll: "watch = 1s\nlongest_request = 2s".to_owned(),
        ..Plan::default()
    };
    Fleet::start(plan).await.expect("fleet")
}

/// Endpoints that hold the version and nothing else.
fn on(fleet: &Fleet, version: &str) -> usize {
    let holds = |e: &&rig::fleet::Endpoint| {
        let spans = e.engine.spans();
        !spans.is_empty() && spans.iter().all(|s| s.version == version)
    };
    fleet.endpoints.iter().filter(holds).count()
}

/// Asks until every endpoint holds the new version; every answer is whole and of one version.
async fn ask_through_the_roll(fleet: &Fleet) {
    let caller = Caller::new();
    let end = Instant::now() + PATIENCE;
    let mut number = 0;
    while on(fleet, NEXT) < fleet.endpoints.len() {
        assert!(Instant::now() < end, "the roll takes too long");
        number += 1;
        let ask = Ask::of(format!("note {number}"));
        let answer = caller.chat(fleet.node(number % 3).callers, &ask).await;
        let answer = answer.expect("answer");
        assert!(answer.complete(), "{answer:?}");
        let either = [VERSION, NEXT].map(|v| expect::text_of(&fleet.plan, &ask, v));
        assert!(either.contains(&answer.text), "{answer:?}");
        sleep(Duration::from_millis(20)).await;
    }
}

// Callers see whole answers all through a roll, each of one version. One node holds the lease and
// orders the endpoints, one availability zone at a time; until the new version is whole, requests
// go to the old one. Afterwards every answer is the new version's.
#[tokio::test(flavor = "multi_thread")]
async fn new_version_is_rolled_without_a_failed_request() {
    let mut fleet = fleet().await;
    fleet
        .publish(&fleet.text_of(NEXT))
        .await
        .expect("published");
    ask_through_the_roll(&fleet).await;
    sleep(Duration::from_secs(2)).await;
    let caller = Caller::new();
    for node in fleet.nodes.iter().flatten() {
        let ask = Ask::of("after the roll");
        let answer = caller.chat(node.callers, &ask).await.expect("answer");
        assert!(answer.complete(), "{answer:?}");
        assert_eq!(answer.text, expect::text_of(&fleet.plan, &ask, NEXT));
    }
}

// Callers see whole answers though the node that gives the orders dies in the middle of a roll. Its
// lease runs out, another node takes it and finishes from what the endpoints report.
#[tokio::test(flavor = "multi_thread")]
async fn roll_goes_on_after_its_holder_died() {
    let mut fleet = fleet().await;
    fleet
        .publish(&fleet.text_of(NEXT))
        .await
        .expect("published");
    let end = Instant::now() + PATIENCE;
    while on(&fleet, NEXT) == 0 {
        assert!(Instant::now() < end, "the roll does not begin");
        sleep(Duration::from_millis(20)).await;
    }
    let holder = holder(&fleet).await.expect("a node holds the lease");
    fleet.kill_node(holder).await.expect("killed");
    while on(&fleet, NEXT) < fleet.endpoints.len() {
        assert!(Instant::now() < end, "the roll takes too long");
        let ask = Ask::of("note");
        let node = fleet.nodes.iter().flatten().next().expect("a node");
        let answer = Caller::new().chat(node.callers, &ask).await;
        assert!(answer.expect("answer").complete());
        sleep(Duration::from_millis(50)).await;
    }
}

/// The node whose dump shows a roll: only a holder has one.
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
