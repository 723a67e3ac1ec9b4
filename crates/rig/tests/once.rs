//! Requests that are not repeatable, retried with the same idempotency key.

use http::{Method, StatusCode};
use rig::caller::{Caller, get};
use rig::fleet::Fleet;
use rig::plan::{KITCHENS, NEWSLETTER, Plan};
use serde_json::Value;
use standin::fault::Mode;
use standin::service::{Config, answer};
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const PATH: &str = "/services/newsletter/send";

#[derive(Debug)]
struct Reply {
    status: StatusCode,
    outcome: String,
    code: String,
    body: String,
}

/// Returns a dated idempotency key: the current time in seconds, then `name`.
fn key(name: &str) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    format!("{}-{name}", now.expect("after 1970").as_secs())
}

async fn send(addr: SocketAddr, key: &str, body: &str) -> Reply {
    let headers = [
        ("authorization", format!("Bearer {}", KITCHENS.key)),
        ("idempotency-key", key.to_owned()),
        ("x-wigeonshelf-deadline-ms", "5000".to_owned()),
    ];
    let caller = Caller::new();
    let answer = caller.call(addr, Method::POST, PATH, &headers, body.to_owned());
    let (status, headers, body) = answer.await.expect("answer");
    let json: Value = serde_json::from_slice(&body).unwrap_or_default();
    let code = json.pointer("/error/code").and_then(Value::as_str);
    let outcome = headers.get("x-wigeonshelf-outcome");
    Reply {
        status,
        outcome: outcome.map_or("", |v| v.to_str().unwrap_or("")).to_owned(),
        code: code.unwrap_or_default().to_owned(),
        body: String::from_utf8_lossy(&body).into_owned(),
    }
}

fn expected(body: &str) -> String {
    answer(&Config::default(), "/send", body.as_bytes()).concat()
}

fn effects(fleet: &Fleet, key: &str) -> u64 {
    let services = fleet.services.iter().filter(|s| s.service == NEWSLETTER);
    services.map(|s| s.handle.effects(key)).sum()
}

// Retries of an ended request at the same node and at others all get the first answer: the node
// that ran it replays its cached answer, and the others forward the retry to that node. The
// newsletter is sent once.
#[tokio::test(flavor = "multi_thread")]
async fn retry_gets_the_first_answer_on_every_node() {
    let fleet = Fleet::start(Plan::default()).await.expect("fleet");
    let key = key("week-7");
    for node in [0, 0, 1, 2] {
        let reply = send(fleet.node(node).callers, &key, "week 7").await;
        assert_eq!(reply.status, StatusCode::OK, "{reply:?}");
        assert_eq!(reply.body, expected("week 7"));
    }
    assert_eq!(effects(&fleet, &key), 1);
}

// Concurrent requests with one key at all nodes get the same answer or are redirected to the node
// that owns the key, and the request runs once. The claim with the lowest offset in the log decides
// which node runs it.
#[tokio::test(flavor = "multi_thread")]
async fn parallel_sends_to_all_nodes_run_once() {
    let fleet = Fleet::start(Plan::default()).await.expect("fleet");
    for round in 0..4 {
        let key = key(&format!("round-{round}"));
        let nodes = fleet.nodes.iter().flatten();
        let sends = nodes.flat_map(|n| [n.callers, n.callers]);
        let sends = sends.map(|addr| send(addr, &key, "week 8"));
        for reply in futures::future::join_all(sends).await {
            assert_eq!(reply.status, StatusCode::OK, "{reply:?}");
            assert_eq!(reply.body, expected("week 8"));
        }
        assert_eq!(effects(&fleet, &key), 1);
    }
}

// A key that was used with another body is refused, and nothing runs.
#[tokio::test(flavor = "multi_thread")]
async fn key_with_another_body_is_refused() {
    let fleet = Fleet::start(Plan::default()).await.expect("fleet");
    let key = key("week-9");
    let first = send(fleet.node(0).callers, &key, "week 9").await;
    assert_eq!(first.status, StatusCode::OK, "{first:?}");
    let second = send(fleet.node(0).callers, &key, "week 10").await;
    assert_eq!(second.code, "key_reused");
    assert_eq!(effects(&fleet, &key), 1);
}

// If the log's responses to appends are lost, the node reads its claim back from the log and runs
// the request once.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answer_of_an_append_is_settled_by_reading_back() {
    let fleet = Fleet::start(Plan::default()).await.expect("fleet");
    let key = key("week-11");
    fleet.log.faults.drop_answers(3);
    let reply = send(fleet.node(1).callers, &key, "week 11").await;
    assert_eq!(reply.status, StatusCode::OK, "{reply:?}");
    assert_eq!(effects(&fleet, &key), 1);
}

// While the log is unavailable, a claim of a dated key can't be settled: the request is refused and
// does not run. A ticket still works, because only the node that issued it may run it; a retry with
// it gets the same answer.
#[tokio::test(flavor = "multi_thread")]
async fn tickets_work_while_the_log_is_out() {
    let fleet = Fleet::start(Plan::default()).await.expect("fleet");
    fleet.log.faults.set_mode(Mode::Down);
    let addr = fleet.node(0).callers;
    let dated = key("week-12");
    let reply = send(addr, &dated, "week 12").await;
    assert_eq!(reply.code, "claim_unsettled", "{reply:?}");
    assert_eq!(effects(&fleet, &dated), 0);
    let ticket = ticket(addr).await;
    for node in [0, 0, 1] {
        let reply = send(fleet.node(node).callers, &ticket, "week 12").await;
        assert_eq!(reply.status, StatusCode::OK, "{reply:?}");
        assert_eq!(reply.body, expected("week 12"));
    }
    assert_eq!(effects(&fleet, &ticket), 1);
}

async fn ticket(addr: SocketAddr) -> String {
    let headers = [("authorization", format!("Bearer {}", KITCHENS.key))];
    let caller = Caller::new();
    let answer = caller.call(addr, Method::POST, "/v1/tickets", &headers, "");
    let (_, _, body) = answer.await.expect("ticket");
    let json: Value = serde_json::from_slice(&body).expect("json");
    json["ticket"].as_str().expect("ticket").to_owned()
}

// After the node that ran a request died, a retry at another node never gets the outcome "not run",
// and the request does not run a second time.
#[tokio::test(flavor = "multi_thread")]
async fn retry_after_the_owner_died_does_not_run_again() {
    let mut fleet = Fleet::start(Plan::default()).await.expect("fleet");
    let key = key("week-13");
    let first = send(fleet.node(0).callers, &key, "week 13").await;
    assert_eq!(first.status, StatusCode::OK, "{first:?}");
    fleet.kill_node(0).await.expect("killed");
    tokio::time::sleep(Duration::from_secs(1)).await;
    let again = send(fleet.node(1).callers, &key, "week 13").await;
    assert_ne!(again.outcome, "not-run", "{again:?}");
    assert_eq!(effects(&fleet, &key), 1);
    let status: Value = get(fleet.node(1).admin, "/admin/v1/status")
        .await
        .expect("status");
    assert_eq!(status["ready"], true);
}

// A key is bound to the team's name and the request, so a retry gets the first answer even if a new
// bundle has changed the team's index in the table of teams.
#[tokio::test(flavor = "multi_thread")]
async fn retry_after_a_bundle_that_renumbers_teams() {
    let mut fleet = Fleet::start(Plan::default()).await.expect("fleet");
    let key = key("week-14");
    let first = send(fleet.node(0).callers, &key, "week 14").await;
    assert_eq!(first.status, StatusCode::OK, "{first:?}");
    let mut text = fleet.text();
    text.push_str(
        "[team aaa]\nkeys = 0000000000000000000000000000000000000000000000000000000000000001\n\
         weight = 1\nrate = 1\nin_flight = 1\ntop = normal\nusual = normal\n",
    );
    fleet.publish(&text).await.expect("published");
    fleet.wait_until_settled().await.expect("in force");
    let again = send(fleet.node(0).callers, &key, "week 14").await;
    assert_eq!(again.status, StatusCode::OK, "{again:?}");
    assert_eq!(again.body, expected("week 14"));
    assert_eq!(effects(&fleet, &key), 1);
}
