//! Plain services: routed, retried only where that is allowed, streamed through.

use http::{HeaderMap, Method, StatusCode};
use rig::caller::Caller;
use rig::fleet::Fleet;
use rig::plan::{KITCHENS, LOOKUP, NEWSLETTER, Plan};
use standin::service::{Config, CrashPoint, answer};
use std::sync::LazyLock;
use std::time::{SystemTime, UNIX_EPOCH};

struct Reply {
    status: StatusCode,
    headers: HeaderMap,
    body: String,
}

async fn call(fleet: &Fleet, service: &str, key: &str) -> eyre::Result<Reply> {
    let headers = [
        ("authorization", format!("Bearer {}", KITCHENS.key)),
        ("idempotency-key", dated(key)),
    ];
    let path = format!("/services/{service}/send?week=7");
    let addr = fleet.node(0).callers;
    let caller = Caller::new();
    let (status, headers, body) = caller
        .call(addr, Method::POST, &path, &headers, key.to_owned())
        .await?;
    Ok(Reply {
        status,
        headers,
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}

/// A key as callers make them: the time, then anything. It is the same for all calls of a test.
fn dated(key: &str) -> String {
    static NOW: LazyLock<u64> = LazyLock::new(|| {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        now.expect("after 1970").as_secs()
    });
    format!("{}-{key}", *NOW)
}

fn expected(key: &str) -> String {
    answer(&Config::default(), "/send", key.as_bytes()).concat()
}

fn effects(fleet: &Fleet, service: &str, key: &str) -> u64 {
    let services = fleet.services.iter().filter(|s| s.service == service);
    services.map(|s| s.handle.effects(&dated(key))).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn call_is_routed_and_its_answer_streamed_through() {
    let fleet = Fleet::start(Plan::default()).await.expect("fleet");
    let reply = call(&fleet, NEWSLETTER, "week-7").await.expect("answer");
    assert_eq!(reply.status, StatusCode::OK);
    assert_eq!(reply.body, expected("week-7"));
    assert_eq!(effects(&fleet, NEWSLETTER, "week-7"), 1);
}

// The caller of a lookup sees its answer though an endpoint dies before it has an effect: the call
// may be repeated, so the node calls another endpoint.
#[tokio::test(flavor = "multi_thread")]
async fn repeatable_call_goes_elsewhere() {
    let fleet = Fleet::start(Plan::default()).await.expect("fleet");
    let lookups = fleet.services.iter().filter(|s| s.service == LOOKUP);
    let first = lookups.into_iter().next().expect("an endpoint");
    first.handle.crash_at(Some(CrashPoint::Before));
    for n in 0..6 {
        let key = format!("lookup-{n}");
        let reply = call(&fleet, LOOKUP, &key).await.expect("answer");
        assert_eq!(reply.body, expected(&key));
    }
}

// The caller of a newsletter is told "unknown" when every endpoint dies right after the effect: the
// call may not be repeated, so nothing is called again, and it has its effect once.
#[tokio::test(flavor = "multi_thread")]
async fn call_that_may_not_be_repeated_is_made_once() {
    let fleet = Fleet::start(Plan::default()).await.expect("fleet");
    for service in &fleet.services {
        service.handle.crash_at(Some(CrashPoint::After));
    }
    let reply = call(&fleet, NEWSLETTER, "week-8").await.expect("answer");
    assert_eq!(reply.status, StatusCode::BAD_GATEWAY);
    let outcome = reply.headers.get("x-wigeonshelf-outcome");
    assert_eq!(outcome.map(|v| v.as_bytes()), Some(&b"unknown"[..]));
    assert_eq!(effects(&fleet, NEWSLETTER, "week-8"), 1);
}

// The caller sees an answer that breaks off, never a short one that looks whole. The endpoint cuts
// it in the middle, after its head and a part went through; a second call would be appended to it.
#[tokio::test(flavor = "multi_thread")]
async fn cut_answer_breaks_off() {
    let fleet = Fleet::start(Plan::default()).await.expect("fleet");
    for service in &fleet.services {
        service.handle.truncate_answers(true);
    }
    for service in [LOOKUP, NEWSLETTER] {
        assert!(call(&fleet, service, "half").await.is_err());
    }
    assert_eq!(effects(&fleet, NEWSLETTER, "half"), 1);
}
